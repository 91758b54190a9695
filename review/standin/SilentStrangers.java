import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Hundreds of strangers connect to a controller's address and say nothing, then go away. Checks that
 * the controller still answers pings on new connections afterwards, and takes a proxy that dials
 * again.
 */
final class SilentStrangers {
    /** The smallest limit that the pages give: 256 to 1,024 descriptors. */
    private static final int SOCKETS = 256;

    private static final int STRANGERS = 300;
    private static final int STRANGERS_STAY_MS = 3_000;
    private static final int WATCHED_MS = 20_000;
    private static final List<String> CLASSES = List.of("subset", "licence-use");

    private SilentStrangers() {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Files.createTempDirectory("review");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Stand.Governor governor = null;
        try (Stand.Record record = new Stand.Record(Path.of(arguments[0]))) {
            try (Stand.Discovery discovery = new Stand.Discovery(record)) {
                for (int i = 0; i < 10; i++) {
                    discovery.add(new Stand.Replica("s-" + i, i % 2 == 0 ? "hall-a" : "hall-b"));
                }
                int port = Stand.freePort();
                Path config = folder.resolve("n1.json");
                Files.writeString(config,
                        Stand.config("n1", port, discovery.address(), discovery,
                                Stand.exampleSettings(), SOCKETS));
                // The platform's limit of the page DEPLOY, set for this process alone.
                governor = new Stand.Governor(
                        "n1", port, folder, config, "", "ulimit -n " + SOCKETS, record);
                governor.start();
                status = governor.awaitReady(30_000)
                        ? play(trouble, record, discovery, governor) : 2;
            } catch (Exception failure) {
                record.add("the case could not run: %s", failure);
            } finally {
                if (governor != null) {
                    governor.kill();
                }
            }
            for (String line : Files.readAllLines(folder.resolve("n1.log"))) {
                if (line.contains("ERROR") || line.contains("Too many")) {
                    record.add("log of n1: %s", line);
                }
            }
            record.add("exit %d", status);
        } finally {
            Stand.delete(folder);
        }
        System.exit(Stand.exitCode(status));
    }

    private static int play(boolean trouble, Stand.Record record, Stand.Discovery discovery,
            Stand.Governor governor) throws Exception {
        try (Stand.Fleet fleet = new Stand.Fleet(record, discovery, 2_000, 6)) {
            for (int i = 0; i < 8; i++) {
                fleet.proxies.add(new Stand.Proxy(i, i % 2 == 0 ? "hall-a" : "hall-b", CLASSES, fleet,
                        governor.port, List.of("s-0", "s-1", "s-2")));
            }
            fleet.collect("hall-a", governor.port);
            fleet.collect("hall-b", governor.port);
            Thread.sleep(4_000);
            for (Stand.Proxy proxy : fleet.proxies) {
                if (proxy.joinedAt < 0) {
                    return 2;
                }
            }
            if (trouble) {
                connectStrangers(record, governor);
            }
            record.add("a proxy starts: proxy 8");
            Stand.Proxy late = new Stand.Proxy(
                    8, "hall-a", CLASSES, fleet, governor.port, List.of("s-0", "s-2", "s-4"));
            fleet.proxies.add(late);
            int pings = 0;
            int answered = 0;
            for (long until = Stand.now() + WATCHED_MS; Stand.now() < until; Thread.sleep(1_000)) {
                pings++;
                boolean pong = Stand.ping(governor.port);
                answered += pong ? 1 : 0;
                record.add("ping on a new connection: %s", pong ? "pong" : "no answer");
            }
            record.add("process runs: %b; pings %d, answered %d; proxy 8 %s", governor.isAlive(), pings,
                    answered, late.lastMessageAt >= 0 ? "got its tables" : "got nothing");
            // Broken only if nothing at all was answered: not a moment of load, but for good.
            return answered == 0 && late.lastMessageAt < 0 || !governor.isAlive() ? 1 : 0;
        }
    }

    private static void connectStrangers(Stand.Record record, Stand.Governor governor)
            throws IOException, InterruptedException {
        List<Socket> strangers = new ArrayList<>();
        int connected = 0;
        for (int i = 0; i < STRANGERS; i++) {
            Socket socket = new Socket();
            strangers.add(socket);
            try {
                socket.connect(new InetSocketAddress("127.0.0.1", governor.port), 200);
                connected++;
            } catch (IOException refused) {
                // The controller may refuse a stranger.
            }
        }
        record.add("%d strangers dialled, %d connected, all say nothing", STRANGERS, connected);
        Thread.sleep(STRANGERS_STAY_MS);
        for (Socket socket : strangers) {
            socket.close();
        }
        record.add("all strangers are gone");
        Thread.sleep(2_000);
    }
}
