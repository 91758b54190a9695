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
 * An example fleet for trying out a controller. It serves discovery with four replicas, joins as
 * one proxy and as the collector of zone hall-a, prints the controller's commands, and sends the
 * reports of a proxy that follows them. After 10 s toy-2 fails all requests; after 30 s toy-3
 * drains. It measures nothing.
 *
 * <p>Start it with {@code java example/ExampleFleet.java}, then start the controller with {@code
 * RELAY_CONFIG} set to example/governor.json. Either may be restarted at any time.
 */
public final class ExampleFleet {
    private static final int DISCOVERY_PORT = 8500;
    private static final int CONTROLLER_PORT = 8080;
    private static final int REPLICAS = 4;
    private static final long FAILS_AFTER_MILLIS = 10_000;
    private static final long DRAINS_AFTER_MILLIS = 30_000;
    private static final long REPORT_INTERVAL_MILLIS = 2_000;

    private final long startedAtMillis = System.currentTimeMillis();

    private ExampleFleet() {}

    /** Runs until the process is stopped. */
    public static void main(String[] arguments) throws Exception {
        ExampleFleet fleet = new ExampleFleet();
        fleet.serveDiscovery();
        System.out.println(
                "discovery on 127.0.0.1:8500; waiting for a controller on 127.0.0.1:8080");
        while (true) {
            try (Socket proxy = new Socket("127.0.0.1", CONTROLLER_PORT);
                    Socket collector = new Socket("127.0.0.1", CONTROLLER_PORT)) {
                Thread reports = new Thread(() -> fleet.sendReports(collector));
                reports.start();
                fleet.followCommands(proxy);
            } catch (IOException disconnected) {
                Thread.sleep(1_000);
            }
        }
    }

    private long ageMillis() {
        return System.currentTimeMillis() - startedAtMillis;
    }

    private void serveDiscovery() throws IOException {
        HttpServer server =
                HttpServer.create(new InetSocketAddress("127.0.0.1", DISCOVERY_PORT), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext(
                "/discovery/hosts",
                exchange -> {
                    String query = exchange.getRequestURI().getQuery();
                    boolean watch = query != null && query.contains("index=" + version());
                    long deadlineMillis =
                            System.currentTimeMillis()
                                    + (watch ? Long.parseLong(query.replaceAll(".*wait=", "")) : 0);
                    for (int known = version();
                            watch
                                    && known == version()
                                    && System.currentTimeMillis() < deadlineMillis; ) {
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
        return ageMillis() < DRAINS_AFTER_MILLIS ? 1 : 2;
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

    private void followCommands(Socket proxy) throws IOException {
        send(proxy, "joined sidecar 0 az hall-a share 20 standing 1");
        InputStream in = new BufferedInputStream(proxy.getInputStream());
        while (true) {
            List<String> words = new ArrayList<>();
            for (int remaining = count(in); remaining > 0; remaining--) {
                words.add(new String(in.readNBytes(count(in)), StandardCharsets.UTF_8));
                in.readNBytes(2);
            }
            System.out.printf("%5.1f s  %s%n", ageMillis() / 1000.0, String.join(" ", words));
            int ticket = words.indexOf("ticket");
            if (ticket > 0) {
                send(proxy, "applied sidecar 0 version " + words.get(ticket + 1) + " lag_ms 1.0");
            }
        }
    }

    /** Reads the number in a header line such as *3 or $5. */
    private static int count(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("controller closed the connection");
            }
            line.append((char) next);
        }
        return Integer.parseInt(line.substring(1).trim());
    }

    private void sendReports(Socket collector) {
        try {
            send(collector, "collector az hall-a");
            while (true) {
                for (int i = 1; i <= REPLICAS; i++) {
                    int failed = i == 2 && ageMillis() > FAILS_AFTER_MILLIS ? 10 : 0;
                    send(
                            collector,
                            "heard az hall-a host toy-"
                                    + i
                                    + " n 10 bad "
                                    + failed
                                    + " avg 150 window "
                                    + REPORT_INTERVAL_MILLIS
                                    + " report util:0."
                                    + 2 * i);
                }
                send(
                        collector,
                        "usage sidecar 0 kind subset n 30 bad 0 window " + REPORT_INTERVAL_MILLIS);
                send(
                        collector,
                        "usage sidecar 0 kind licence-use n 10 bad 0 window "
                                + REPORT_INTERVAL_MILLIS);
                pause(REPORT_INTERVAL_MILLIS);
            }
        } catch (IOException disconnected) {
            System.out.println("collector disconnected");
        }
    }

    private static void send(Socket to, String message) throws IOException {
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
