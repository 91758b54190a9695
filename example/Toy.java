import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;

/**
 * A toy to try a governor with: it plays discovery with four replicas, joins as one proxy and as
 * the collector of hall-a, prints what the governor orders, and makes up the reports of a proxy
 * that does as it is told. After ten seconds toy-2 fails all it gets; after thirty toy-3 drains. It
 * measures nothing.
 *
 * <p>Start it with {@code java example/Toy.java}, then the governor with {@code RELAY_CONFIG}
 * naming example/governor.json; both may be started anew at any time.
 */
public final class Toy {
    private static final int REPLICAS = 4;
    private static final long FAILS_AFTER_MS = 10_000;
    private static final long DRAINS_AFTER_MS = 30_000;
    private static final long PERIOD_MS = 2_000;

    private final long startedAt = System.currentTimeMillis();

    private Toy() {}

    /** Plays until it is stopped. */
    public static void main(String[] arguments) throws Exception {
        Toy toy = new Toy();
        toy.discover();
        System.out.println("discovery on 127.0.0.1:8500; waiting for a governor on 127.0.0.1:8080");
        while (true) {
            try (Socket proxy = new Socket("127.0.0.1", 8080);
                    Socket collector = new Socket("127.0.0.1", 8080)) {
                Thread reports = new Thread(() -> toy.report(collector));
                reports.start();
                toy.follow(proxy);
            } catch (IOException away) {
                Thread.sleep(1_000);
            }
        }
    }

    private long age() {
        return System.currentTimeMillis() - startedAt;
    }

    // ---- discovery ----

    private void discover() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 8500), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext(
                "/discovery/hosts",
                exchange -> {
                    String query = exchange.getRequestURI().getQuery();
                    boolean watch = query != null && query.contains("index=" + version());
                    long end =
                            System.currentTimeMillis()
                                    + (watch ? Long.parseLong(query.replaceAll(".*wait=", "")) : 0);
                    for (int held = version();
                            watch && held == version() && System.currentTimeMillis() < end; ) {
                        pause(100);
                    }
                    byte[] body = list().getBytes(StandardCharsets.UTF_8);
                    exchange.sendResponseHeaders(200, body.length);
                    exchange.getResponseBody().write(body);
                    exchange.close();
                });
        server.start();
    }

    private int version() {
        return age() < DRAINS_AFTER_MS ? 1 : 2;
    }

    private String list() {
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= REPLICAS; i++) {
            entries.add(
                    "{\"instanceId\":\"toy-"
                            + i
                            + "\",\"hostPort\":\"127.0.0.1:"
                            + (9000 + i)
                            + "\",\"zone\":\"hall-"
                            + (i % 2 == 1 ? "a" : "b")
                            + "\",\"machineType\":\"one-core\",\"cell\":0,"
                            + "\"lifecycle\":\""
                            + (i == 3 && version() == 2 ? "Terminating" : "Ready")
                            + "\",\"weight\":1.0,\"startedAtMs\":0}");
        }
        return "{\"generation\":"
                + version()
                + ",\"reset\":true,\"instances\":["
                + String.join(",", entries)
                + "]}";
    }

    // ---- a proxy and a collector ----

    private void follow(Socket proxy) throws IOException {
        say(proxy, "joined sidecar 0 az hall-a share 20 standing 1");
        InputStream in = new BufferedInputStream(proxy.getInputStream());
        while (true) {
            List<String> words = new ArrayList<>();
            for (int left = count(in); left > 0; left--) {
                words.add(new String(in.readNBytes(count(in)), StandardCharsets.UTF_8));
                in.readNBytes(2);
            }
            System.out.printf("%5.1f s  %s%n", age() / 1000.0, String.join(" ", words));
            int mark = words.indexOf("ticket");
            if (mark > 0) {
                say(proxy, "applied sidecar 0 version " + words.get(mark + 1) + " lag_ms 1.0");
            }
        }
    }

    /** The number in a header line such as *3 or $5. */
    private static int count(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the governor is gone");
            }
            line.append((char) next);
        }
        return Integer.parseInt(line.substring(1).trim());
    }

    private void report(Socket collector) {
        try {
            say(collector, "collector az hall-a");
            while (true) {
                for (int i = 1; i <= REPLICAS; i++) {
                    int failed = i == 2 && age() > FAILS_AFTER_MS ? 10 : 0;
                    say(
                            collector,
                            "heard az hall-a host toy-"
                                    + i
                                    + " n 10 bad "
                                    + failed
                                    + " avg 150 window "
                                    + PERIOD_MS
                                    + " report util:0."
                                    + 2 * i);
                }
                say(collector, "usage sidecar 0 kind subset n 30 bad 0 window " + PERIOD_MS);
                say(collector, "usage sidecar 0 kind licence-use n 10 bad 0 window " + PERIOD_MS);
                pause(PERIOD_MS);
            }
        } catch (IOException away) {
            System.out.println("the collector's connection is gone");
        }
    }

    private static void say(Socket to, String message) throws IOException {
        StringBuilder bytes = new StringBuilder();
        String[] words = message.split(" ");
        bytes.append('*').append(words.length).append("\r\n");
        for (String word : words) {
            bytes.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        OutputStream out = to.getOutputStream();
        out.write(bytes.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
