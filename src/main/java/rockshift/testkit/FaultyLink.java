package rockshift.testkit;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * A TCP link from one member to another on loopback, which can be cut, slowed, or made to lose and
 * double whole frames. What it does to a frame comes from its seed. A cut says nothing: the
 * connection stays open and silent, as when a machine is cut off.
 */
public final class FaultyLink implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 1 << 21;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final ServerSocket listener;
    private final SplittableRandom random;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    // Set by the trial's thread, read by those that forward frames: faults act on the next frame.
    private volatile int targetPort;
    private volatile boolean partitioned;
    private volatile boolean reversePartitioned;
    private volatile double lossRatio;
    private volatile double duplicateRatio;
    private volatile long delayMillis;

    /** Listens on a free port; {@link #connectTo} says where it leads. */
    public FaultyLink(long seed) throws IOException {
        random = new SplittableRandom(seed);
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "faulty-link");
        thread.setDaemon(true);
        thread.start();
    }

    /** Where to dial to come through it. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Where it leads from now on: a member has another port after each start. */
    public void connectTo(int port) {
        targetPort = port;
        closeAll();
    }

    /** Whether it drops all frames, both ways, with its connections open. */
    public void setPartitioned(boolean now) {
        partitioned = now;
    }

    /** Whether it drops the frames of the answering side alone. */
    public void setReversePartitioned(boolean now) {
        reversePartitioned = now;
    }

    /** Loses and duplicates so much of what the dialling side sends, and delays it. */
    public void disturb(double newLossRatio, double newDuplicateRatio, long newDelayMillis) {
        lossRatio = newLossRatio;
        duplicateRatio = newDuplicateRatio;
        delayMillis = newDelayMillis;
    }

    private void closeAll() {
        openSockets.forEach(FaultyLink::close);
        openSockets.clear();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket from = listener.accept();
                Socket to = new Socket();
                openSockets.add(from);
                openSockets.add(to);
                try {
                    to.connect(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort),
                            CONNECT_TIMEOUT_MILLIS);
                    from.setTcpNoDelay(true);
                    to.setTcpNoDelay(true);
                    startThread(() -> forward(from, to, true));
                    startThread(() -> forward(to, from, false));
                } catch (IOException refused) {
                    // The target is down: the dialling side sees the connection end, and dials
                    // again.
                    closeAndForget(from);
                    closeAndForget(to);
                }
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void closeAndForget(Socket socket) {
        openSockets.remove(socket);
        close(socket);
    }

    /** Forwards frames in one direction; faults are done to those of the dialling side. */
    private void forward(Socket from, Socket to, boolean disturbed) {
        try (from;
                to) {
            DataInputStream in = new DataInputStream(from.getInputStream());
            DataOutputStream out = new DataOutputStream(to.getOutputStream());
            while (true) {
                int length = in.readInt();
                if (length < 0 || length > MAX_FRAME_BYTES) {
                    return;
                }
                byte[] rest = new byte[length + 4];
                in.readFully(rest);
                double drawn;
                synchronized (random) {
                    drawn = random.nextDouble();
                }
                if (delayMillis > 0 && disturbed) {
                    LockSupport.parkNanos(delayMillis * 1_000_000);
                }
                if (partitioned
                        || reversePartitioned && !disturbed
                        || disturbed && drawn < lossRatio) {
                    continue;
                }
                for (int copies = disturbed && drawn > 1 - duplicateRatio ? 2 : 1;
                        copies > 0;
                        copies--) {
                    out.writeInt(length);
                    out.write(rest);
                    out.flush();
                }
            }
        } catch (IOException ended) {
            // One side went; the other is closed with it.
        } finally {
            openSockets.remove(from);
            openSockets.remove(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException gone) {
            // It is closed all the same.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        closeAll();
    }
}
