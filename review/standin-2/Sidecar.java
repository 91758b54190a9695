import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A sidecar as the protocol page has it: it joins a governor, applies its updates in order after the time that a message takes,
 * acknowledges tickets, and picks lines by weight. It keeps its tables and the replicas that it shuts out across streams.
 */
final class Sidecar implements Closeable {
    /** The channel of one governor: messages leave it one after the other, at its rate. */
    static final class Channel {
        private final double linesPerSecond;
        private final double head;
        private final long transitMillis;
        private double freeAtMillis;

        Channel(double linesPerSecond, double head, long transitMillis) {
            this.linesPerSecond = linesPerSecond;
            this.head = head;
            this.transitMillis = transitMillis;
        }

        /** Returns when a message that has just come in reaches its sidecar. */
        synchronized long arrival(int lines) {
            freeAtMillis = Math.max(Kit.now(), freeAtMillis) + (lines + head) / linesPerSecond * 1000;
            return (long) freeAtMillis + transitMillis;
        }
    }

    /** A message as it was written to a sidecar. */
    record Written(long atMillis, String text) {}

    /** A message in transit, with its parts. */
    private record InTransit(long atMillis, List<Map<String, String>> parts, Socket stream) {}

    final int number;
    final String zone;
    final double share;
    private final List<String> classes;
    private final SplittableRandom random;
    private final Map<String, Kit.Table> tables = new TreeMap<>();
    private final TreeSet<String> out = new TreeSet<>();
    private final List<Written> written = new ArrayList<>();
    private Socket stream;
    private long joinedAtMillis = -1;
    private boolean ordered;
    private boolean alive = true;

    Sidecar(int number, String zone, double share, List<String> classes) {
        this.number = number;
        this.zone = zone;
        this.share = share;
        this.classes = classes;
        random = new SplittableRandom(number);
        classes.forEach(each -> tables.put(each, new Kit.Table()));
        Kit.own(this);
    }

    /** Starts it anew, with a standing table and nothing else. */
    synchronized void restart(Collection<String> standing) {
        out.clear();
        ordered = false;
        alive = true;
        for (Kit.Table table : tables.values()) {
            table.lines.clear();
            standing.forEach(replica -> table.lines.put(replica, 1.0));
            table.level = 1;
            table.retry = 0;
        }
    }

    /** Joins a governor on a new stream. */
    void join(int port, Channel channel) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        synchronized (this) {
            stream = socket;
            joinedAtMillis = Kit.now();
            written.clear();
            send("joined", "sidecar", "" + number, "az", zone, "share", "" + share, "standing", ordered ? "0" : "1");
        }
        Kit.note("sidecar " + number, "joined, standing " + (ordered ? 0 : 1) + (out.isEmpty() ? "" : ", keeps out " + out));
        Thread reader = new Thread(() -> read(socket, channel), "sidecar-" + number);
        reader.setDaemon(true);
        reader.start();
    }

    /** Dies: its stream is reset, and it sends nothing. */
    synchronized void die() {
        alive = false;
        leave();
    }

    synchronized boolean isAlive() {
        return alive;
    }

    /** Ends the stream, as when it breaks. */
    synchronized void leave() {
        if (stream != null) {
            try {
                stream.setSoLinger(true, 0);
                stream.close();
            } catch (IOException ended) {
                // Closed already.
            }
            stream = null;
            joinedAtMillis = -1;
        }
    }

    /** Its zone is cut off: the stream stays open and silent. */
    synchronized void fallSilent() {
        stream = null;
        joinedAtMillis = -1;
    }

    synchronized boolean isJoined() {
        return stream != null;
    }

    synchronized long joinedAtMillis() {
        return joinedAtMillis;
    }

    synchronized List<Written> written() {
        return List.copyOf(written);
    }

    synchronized Map<String, Double> lines(String className) {
        return new TreeMap<>(tables.get(className).lines);
    }

    synchronized TreeSet<String> out() {
        return new TreeSet<>(out);
    }

    /** Returns the replica that a transaction of a class goes to, or null if there is none to pick. */
    synchronized String pick(String className) {
        double sum = 0;
        Map<String, Double> lines = tables.get(className).lines;
        for (Map.Entry<String, Double> line : lines.entrySet()) {
            sum += out.contains(line.getKey()) ? 0 : line.getValue();
        }
        double drawn = random.nextDouble() * sum;
        String last = null;
        for (Map.Entry<String, Double> line : lines.entrySet()) {
            if (!out.contains(line.getKey()) && line.getValue() > 0) {
                last = line.getKey();
                drawn -= line.getValue();
                if (drawn <= 0) {
                    break;
                }
            }
        }
        return last;
    }

    synchronized void send(String... words) throws IOException {
        if (stream != null) {
            stream.getOutputStream().write(Kit.encode(words));
        }
    }

    private void read(Socket socket, Channel channel) {
        BlockingQueue<InTransit> queue = new LinkedBlockingQueue<>();
        Thread applier = new Thread(() -> applyInOrder(socket, queue), "sidecar-apply-" + number);
        applier.setDaemon(true);
        applier.start();
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            List<Map<String, String>> parts = new ArrayList<>();
            StringBuilder text = new StringBuilder();
            while (true) {
                List<String> words = Kit.readMessage(in);
                if (!words.get(0).equals("update")) {
                    continue;
                }
                Map<String, String> part = Kit.fields(words);
                parts.add(part);
                text.append(text.length() == 0 ? "" : " | ").append(String.join(" ", words));
                if (part.containsKey("more")) {
                    continue;
                }
                synchronized (this) {
                    if (stream != socket) {
                        return;
                    }
                    written.add(new Written(Kit.now(), text.toString()));
                }
                Kit.note("sidecar " + number, "is sent " + text);
                queue.add(new InTransit(channel.arrival(linesOf(parts)), parts, socket));
                parts = new ArrayList<>();
                text.setLength(0);
            }
        } catch (IOException ended) {
            applier.interrupt();
            boolean broke;
            synchronized (this) {
                broke = stream == socket;
                if (broke) {
                    stream = null;
                    joinedAtMillis = -1;
                }
            }
            if (broke) {
                Kit.note("sidecar " + number, "stream ended: " + ended.getMessage());
            }
        }
    }

    private static int linesOf(List<Map<String, String>> parts) {
        int lines = 0;
        for (Map<String, String> part : parts) {
            for (String list : List.of("lines", "out", "back")) {
                String value = part.getOrDefault(list, "");
                lines += value.isEmpty() ? 0 : value.split(",").length;
            }
            lines += part.containsKey("whole") ? 1 : 0;
            lines += part.containsKey("level") ? 1 : 0;
            lines += part.containsKey("ticket") ? 1 : 0;
        }
        return lines;
    }

    private void applyInOrder(Socket socket, BlockingQueue<InTransit> queue) {
        try {
            while (true) {
                InTransit next = queue.take();
                Kit.sleepUntil(next.atMillis);
                synchronized (this) {
                    // What was in transit when the stream broke is lost.
                    if (stream != socket) {
                        return;
                    }
                    next.parts.forEach(this::apply);
                }
                String ticket = next.parts.get(next.parts.size() - 1).get("ticket");
                if (ticket != null) {
                    send("applied", "sidecar", "" + number, "version", ticket, "lag_ms", "1.0");
                }
            }
        } catch (InterruptedException | IOException ended) {
            // The stream is over.
        }
    }

    private void apply(Map<String, String> part) {
        ordered |= part.containsKey("lines");
        Collection<String> meant = part.containsKey("classes") ? Kit.set(part.get("classes"), "+") : classes;
        for (String each : meant) {
            Kit.Table table = tables.get(each);
            if ("1".equals(part.get("whole"))) {
                table.lines.clear();
                table.level = 1;
                table.retry = 0;
            }
            String lines = part.getOrDefault("lines", "");
            for (String line : lines.isEmpty() ? new String[0] : lines.split(",")) {
                int colon = line.lastIndexOf(':');
                double weight = Double.parseDouble(line.substring(colon + 1));
                if (weight > 0) {
                    table.lines.put(line.substring(0, colon), weight);
                } else {
                    table.lines.remove(line.substring(0, colon));
                }
            }
            if (part.containsKey("level")) {
                table.level = Double.parseDouble(part.get("level"));
                table.retry = Integer.parseInt(part.get("retry"));
            }
        }
        if (part.containsKey("out")) {
            out.addAll(Kit.set(part.get("out"), ","));
        }
        if (part.containsKey("back")) {
            out.removeAll(Kit.set(part.get("back"), ","));
        }
    }

    @Override
    public void close() {
        leave();
    }
}
