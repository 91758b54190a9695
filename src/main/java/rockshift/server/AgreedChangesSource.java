package rockshift.server;

import java.io.IOException;

/**
 * What runs beside a controller and tells it of agreed changes: a member of the cluster that agrees
 * on them, or a subscriber of one.
 */
public interface AgreedChangesSource {
    /** Called before the controller serves; a failure keeps it from serving. */
    void begin(AgreedChangesReceiver receiver) throws IOException, InterruptedException;

    /** Called as the process is told to end. */
    void end() throws InterruptedException;
}
