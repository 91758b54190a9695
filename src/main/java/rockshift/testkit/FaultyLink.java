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
    private static final int LONGEST = 1 << 21;
    private static final int DIAL = 500;

    private final ServerSocket listener;
    private final SplittableRandom chance;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile int target;
    private volatile boolean cut;
    private volatile boolean cutBack;
    private volatile double loss;
    private volatile double twice;
    private volatile long delayMs;

    public FaultyLink(long seed) throws IOException {
        chance = new SplittableRandom(seed);
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        begin(this::accept);
    }

    private static void begin(Runnable work) {
        Thread thread = new Thread(work, "faulty-link");
        thread.setDaemon(true);
        thread.start();
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Where it leads from now on: a member has another port after each start. */
    public void to(int port) {
        target = port;
        drop();
    }

    public void cut(boolean now) {
        cut = now;
    }

    /** Cuts one way alone: nothing of what is answered reaches who dialled. */
    public void cutBack(boolean now) {
        cutBack = now;
    }

    public void spoil(double lossNow, double twiceNow, long delayNow) {
        loss = lossNow;
        twice = twiceNow;
        delayMs = delayNow;
    }

    private void drop() {
        open.forEach(FaultyLink::close);
        open.clear();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket from = listener.accept();
                Socket to = new Socket();
                open.add(from);
                open.add(to);
                try {
                    to.connect(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), target), DIAL);
                    from.setTcpNoDelay(true);
                    to.setTcpNoDelay(true);
                    begin(() -> pass(from, to, true));
                    begin(() -> pass(to, from, false));
                } catch (IOException refused) {
                    // Nobody is there: who dialled is told by the end of the connection, and dials
                    // again.
                    end(from);
                    end(to);
                }
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void end(Socket socket) {
        open.remove(socket);
        close(socket);
    }

    /** Passes frames on in one direction; faults are done to what the dialling member says. */
    private void pass(Socket from, Socket to, boolean spoils) {
        try (from;
                to) {
            DataInputStream in = new DataInputStream(from.getInputStream());
            DataOutputStream out = new DataOutputStream(to.getOutputStream());
            while (true) {
                int length = in.readInt();
                if (length < 0 || length > LONGEST) {
                    return;
                }
                byte[] rest = new byte[length + 4];
                in.readFully(rest);
                double drawn;
                synchronized (chance) {
                    drawn = chance.nextDouble();
                }
                if (delayMs > 0 && spoils) {
                    LockSupport.parkNanos(delayMs * 1_000_000);
                }
                if (cut || cutBack && !spoils || spoils && drawn < loss) {
                    continue;
                }
                for (int copies = spoils && drawn > 1 - twice ? 2 : 1; copies > 0; copies--) {
                    out.writeInt(length);
                    out.write(rest);
                    out.flush();
                }
            }
        } catch (IOException ended) {
            // One side went; the other is closed with it.
        } finally {
            open.remove(from);
            open.remove(to);
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
        drop();
    }
}
