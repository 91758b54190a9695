package rockshift.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A simulated proxy and the collector of its zone, connected to one controller of a {@link
 * FaultTrial}. Their reports vary, so that the controller keeps sending new tables. Runs on the
 * thread that calls {@link #run}, and reads commands on a separate thread.
 */
final class ProxyTraffic {
    private static final int REPLICAS = 6;
    private static final int READ_BUFFER_BYTES = 1 << 16;
    private static final long REPORT_INTERVAL_MILLIS = 200;
    private static final long RECONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final int member;
    private final ControllerProcesses controllers;
    private final TrialRecord record;
    private final SplittableRandom random;

    /** Set when the trial ends; read by the reporting thread. */
    private volatile boolean stopped;

    ProxyTraffic(int member, ControllerProcesses controllers, TrialRecord record) {
        this.member = member;
        this.controllers = controllers;
        this.record = record;
        this.random = new SplittableRandom(member);
    }

    void stop() {
        stopped = true;
    }

    /** Sends reports until {@link #stop} is called, and reconnects after each failure. */
    void run() {
        while (!stopped) {
            int port = controllers.proxyPort(member);
            try (Socket proxy = new Socket(InetAddress.getLoopbackAddress(), port);
                    Socket collector = new Socket(InetAddress.getLoopbackAddress(), port)) {
                report(proxy, collector);
            } catch (IOException | IllegalArgumentException down) {
                LockSupport.parkNanos(RECONNECT_NANOS);
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void report(Socket proxy, Socket collector) throws IOException, InterruptedException {
        send(proxy, "joined", "sidecar", "0", "az", "hall-a", "share", "20", "standing", "1");
        send(collector, "collector", "az", "hall-a");
        Thread reader = new Thread(() -> readCommands(proxy), "commands of n" + member);
        reader.setDaemon(true);
        reader.start();
        while (!stopped) {
            reportUsage(proxy);
            for (int replica = 0; replica < REPLICAS; replica++) {
                reportLoad(collector, replica);
            }
            TimeUnit.MILLISECONDS.sleep(REPORT_INTERVAL_MILLIS);
        }
    }

    private static void reportUsage(Socket proxy) throws IOException {
        send(
                proxy, "usage", "sidecar", "0", "kind", "subset", "n", "20", "bad", "0", "window",
                "1000");
    }

    private void reportLoad(Socket collector, int replica) throws IOException {
        send(
                collector,
                "heard",
                "az",
                "hall-a",
                "host",
                "s-" + replica,
                "n",
                Integer.toString(20 + random.nextInt(200)),
                "bad",
                "0",
                "avg",
                "20",
                "window",
                "1000",
                "report",
                "util:0." + (1 + random.nextInt(8)));
    }

    private static void send(Socket socket, String... words) throws IOException {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        OutputStream out = socket.getOutputStream();
        out.write(text.toString().getBytes(StandardCharsets.US_ASCII));
    }

    private void readCommands(Socket proxy) {
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        try {
            InputStream in = proxy.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                String text = new String(buffer, 0, count, StandardCharsets.US_ASCII);
                record.proxyCommand(member, text);
            }
        } catch (IOException ended) {
            // The controller was killed, or the trial is over.
        }
    }
}
