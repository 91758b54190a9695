package rockshift.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The end of a reactor's threads, each caused from outside, with an echo service on top. */
class SupervisedReactorTest {
    private static final AtomicInteger TESTS = new AtomicInteger();

    /** Time in ms for an answer on a connection that may have been accepted by no one. */
    private static final int PROBE_TIMEOUT_MS = 1_000;

    private static final int TIMEOUT_MS = 60_000;
    private static final int GRACE_MS = 300;

    /** Differs between tests, whose threads may overlap. */
    private final String name = "reactor-test-" + TESTS.incrementAndGet();

    private final AtomicBoolean policyFails = new AtomicBoolean();
    private final AtomicBoolean handlersOverlap = new AtomicBoolean();
    private final AtomicBoolean inHandler = new AtomicBoolean();
    private final List<Socket> sockets = new ArrayList<>();
    private SupervisedReactor reactor;
    private int port;

    /** Writes back what it reads, and notes whether two handlers run at a time. */
    private final class Echo implements IOEventHandler {
        @Override
        public void connected(IOSession session) {
            // Nothing is sent first.
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer unused) throws IOException {
            if (!inHandler.compareAndSet(false, true)) {
                handlersOverlap.set(true);
            }
            ByteBuffer bytes = ByteBuffer.allocate(1);
            if (session.read(bytes) < 0) {
                session.close(CloseMode.GRACEFUL);
            } else {
                session.write(bytes.flip());
            }
            inHandler.set(false);
        }

        @Override
        public void outputReady(IOSession session) {
            // One byte always fits into the socket's buffer.
        }

        @Override
        public void timeout(IOSession session, Timeout timeout) {
            session.close(CloseMode.GRACEFUL);
        }

        @Override
        public void exception(IOSession session, Exception failure) {
            session.close(CloseMode.GRACEFUL);
        }

        @Override
        public void disconnected(IOSession session) {
            // Nothing is kept.
        }
    }

    private final class FailingPolicy implements AcceptPolicy {
        @Override
        public boolean mayAccept(int channels) {
            if (policyFails.getAndSet(false)) {
                throw new IllegalStateException("planted failure of the accepting thread");
            }
            return true;
        }

        @Override
        public void descriptorsShort() {
            // No connection can be spared.
        }
    }

    @BeforeEach
    void start() throws Exception {
        reactor =
                new SupervisedReactor(
                        name,
                        IOReactorConfig.custom()
                                .setIoThreadCount(1)
                                .setSoReuseAddress(true)
                                .build(),
                        (session, attachment) -> new Echo(),
                        new FailingPolicy(),
                        new OpenDescriptors());
        reactor.start();
        port =
                reactor.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), null)
                        .getPort();
    }

    @AfterEach
    void close() throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
        reactor.close(GRACE_MS);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TIMEOUT_MS);
        sockets.add(socket);
        return socket;
    }

    private static void assertEchoes(Socket socket) throws IOException {
        socket.getOutputStream().write(7);
        assertThat(socket.getInputStream().read()).isEqualTo(7);
    }

    private boolean echoes() {
        try {
            Socket probe = connect();
            probe.setSoTimeout(PROBE_TIMEOUT_MS);
            assertEchoes(probe);
            return true;
        } catch (IOException | AssertionError notYet) {
            return false;
        }
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(what).isLessThan(end);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private List<Thread> threads(String role) {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().equals(name + role))
                .toList();
    }

    private void endThread(String role) throws InterruptedException {
        await("a single thread " + role, () -> threads(role).size() == 1);
        List<Thread> threads = threads(role);
        threads.get(0).interrupt();
        await("another thread " + role, () -> !threads(role).contains(threads.get(0)));
    }

    /** Guards against a listener whose accepting thread ended, so that no peer could connect. */
    @Test
    void acceptsAgainAfterTheAcceptingThreadEnded() throws Exception {
        Socket before = connect();
        assertEchoes(before);
        endThread("-listener");
        await("a connection after the restart", this::echoes);
        assertEchoes(before);
        assertThat(handlersOverlap).isFalse();
    }

    /** Guards against an accepting thread that ends by an exception of this program's own code. */
    @Test
    void acceptsAgainAfterTheAcceptingThreadFailed() throws Exception {
        Socket before = connect();
        assertEchoes(before);
        policyFails.set(true);
        await("a connection after the failure", () -> echoes() && !policyFails.get());
        await("a connection after the restart", this::echoes);
        assertEchoes(before);
    }

    /** Guards against a port that accepts connections which no thread serves any more. */
    @Test
    void servesAgainAfterTheIoThreadEnded() throws Exception {
        assertEchoes(connect());
        endThread("-io");
        await("a connection after the restart", this::echoes);
    }

    /** Guards against threads and selectors that each restart of a listener leaves behind. */
    @Test
    void restartsLeaveNoUnusedThreadsBehind() throws Exception {
        for (int i = 0; i < 8; i++) {
            endThread("-listener");
            await("a connection after the restart", this::echoes);
            for (Socket socket : sockets) {
                socket.close();
            }
        }
        await("the end of unused threads", () -> threads("-io").size() == 1);
    }

    /**
     * Guards against a connect that waits for descriptors like an accept does: a relay held its
     * lock meanwhile, so that no connection could end and no descriptor became free.
     */
    @Test
    void connectDoesNotWaitForTheDescriptorsOfAnAccept() throws Exception {
        SupervisedReactor withoutDescriptors =
                new SupervisedReactor(
                        name + "-short",
                        IOReactorConfig.custom().setIoThreadCount(1).build(),
                        (session, attachment) -> new Echo(),
                        AcceptPolicy.WHILE_DESCRIPTORS_ARE_FREE,
                        new OpenDescriptors(1));
        withoutDescriptors.start();
        try {
            AtomicBoolean connected = new AtomicBoolean();
            Thread caller =
                    new Thread(() -> connect(withoutDescriptors, () -> connected.set(true)));
            caller.setDaemon(true);
            caller.start();
            await("the connection", connected::get);
        } finally {
            withoutDescriptors.close(GRACE_MS);
        }
    }

    /** Guards against a connect that throws on the caller's thread while a reactor restarts. */
    @Test
    void connectAfterTheCloseIsReportedToTheCallback() throws Exception {
        reactor.close(GRACE_MS);
        AtomicBoolean failed = new AtomicBoolean();
        connect(reactor, () -> failed.set(true));
        await("the failure to connect", failed::get);
        assertThat(catchThrowable(() -> new Socket(InetAddress.getLoopbackAddress(), port)))
                .isInstanceOf(ConnectException.class);
    }

    /** Connects to the echo service, and runs a step once that has succeeded or failed. */
    private void connect(SupervisedReactor from, Runnable ended) {
        from.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                TIMEOUT_MS,
                null,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        ended.run();
                    }

                    @Override
                    public void failed(Exception failure) {
                        ended.run();
                    }

                    @Override
                    public void cancelled() {
                        ended.run();
                    }
                });
    }
}
