package rockshift.server;

import java.io.IOException;

/**
 * What runs in a governor's process and tells it of agreed changes: a member of the agreement, or a
 * subscriber of one. It hands them to an {@link AgreedChangesReceiver}.
 */
public interface AgreedChangesSource {
    /** Called before the governor serves; a failure keeps it from serving. */
    void begin(AgreedChangesReceiver receiver) throws IOException, InterruptedException;

    /** Called as the process is told to end. */
    void end() throws InterruptedException;
}
