package rockshift.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOWorkerStats;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.junit.jupiter.api.Test;

/** A generation whose accepting thread ends without an answer. */
class ReactorGenerationTest {
    private static final long TIMEOUT_MS = 20_000;

    /** Ignores all events; no connection is made. */
    private static final class NoEvents implements ReactorGeneration.Owner {
        @Override
        public SerializedEventHandler newHandler(
                ReactorGeneration generation, ProtocolIOSession session, Object attachment) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void accepted(ReactorGeneration generation, IOWorkerStats worker) {
            // There is no connection.
        }

        @Override
        public void listenerEnded(ReactorGeneration generation) {
            // Nobody opens another generation.
        }

        @Override
        public void lastDisconnected(ReactorGeneration generation) {
            // There is no connection.
        }
    }

    /**
     * Guards against a listener that is never opened again: the thread that opens it waited forever
     * for an accepting thread that had ended just before. The thread here is never started, and
     * reported as ended, as HttpCore then leaves the request unanswered each time.
     */
    @Test
    void listenFailsOnceTheAcceptingThreadHasEnded() throws Exception {
        ReactorGeneration generation =
                new ReactorGeneration("unstarted", IOReactorConfig.DEFAULT, new NoEvents());
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        AtomicReference<Exception> failure = new AtomicReference<>();
        Thread opening =
                new Thread(
                        () -> {
                            try {
                                generation.listen(new ListenAddress(anyPort, null));
                            } catch (IOException | InterruptedException failed) {
                                failure.set(failed);
                            }
                        });
        opening.setDaemon(true);
        opening.start();
        TimeUnit.MILLISECONDS.sleep(100);
        assertThat(opening.isAlive()).as("waits while the thread may answer").isTrue();
        generation.reportListenerEnded();
        opening.join(TIMEOUT_MS);
        assertThat(failure.get()).isInstanceOf(IOException.class);
        generation.shutDown();
    }
}
