package rockshift.server;

import java.io.IOException;

/**
 * The source of agreed changes in a controller's process: a member of the cluster that agrees on
 * them, or a subscriber of one.
 */
public interface AgreedChangesSource {
    /** Called before the controller serves. If it throws, the controller does not start. */
    void start(AgreedChangesReceiver receiver) throws IOException, InterruptedException;

    /** Called when the process is told to end. */
    void stop() throws InterruptedException;
}
