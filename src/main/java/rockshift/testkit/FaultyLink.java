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
 * A TCP link from one member to another on loopback that can be partitioned, delayed, or made to
 * lose and duplicate whole frames. Losses and duplicates are drawn from a seed. During a partition
 * the connections stay open and silent, as when a machine is isolated.
 */
public final class FaultyLink implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 1 << 21;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final ServerSocket listener;
    private final SplittableRandom random;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    // Written by the trial's thread and read by the forwarding threads: a fault takes effect on the
    // next frame.
    private volatile int targetPort;
    private volatile boolean partitioned;
    private volatile boolean reversePartitioned;
    private volatile double lossRatio;
    private volatile double duplicateRatio;
    private volatile long delayMillis;

    /** Listens on a free port; {@link #connectTo} sets the target. */
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

    /** The address to connect to in order to use the link. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /**
     * Sets the target port, as a member has another port after each start, and closes connections.
     */
    public void connectTo(int port) {
        targetPort = port;
        closeAll();
    }

    /** Sets whether all frames are dropped in both directions while connections stay open. */
    public void setPartitioned(boolean now) {
        partitioned = now;
    }

    /** Sets whether only the frames of the accepting side are dropped. */
    public void setReversePartitioned(boolean now) {
        reversePartitioned = now;
    }

    /** Sets loss, duplication and delay of the frames that the connecting side sends. */
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
                    // The target is down: the connecting side sees its connection end and
                    // reconnects.
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

    /** Forwards frames in one direction; {@code disturbed} is set for the connecting side's. */
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
            // One side ended; the try block closes the other.
        } finally {
            openSockets.remove(from);
            openSockets.remove(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException gone) {
            // A failed close releases the socket as well.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        closeAll();
    }
}
