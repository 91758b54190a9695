package rockshift.net;

import java.io.IOException;

/** What runs beside a governor in its process and feeds it through an {@link Inlet}. */
public interface Companion {
    /** Called before the governor serves; a failure keeps it from serving. */
    void begin(Inlet inlet) throws IOException, InterruptedException;

    /** Called as the process is told to end. */
    void end() throws InterruptedException;
}
