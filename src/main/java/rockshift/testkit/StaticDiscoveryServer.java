package rockshift.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A discovery agent on loopback whose list of replicas never changes. A watch request is answered
 * only when its wait expires. Each connection has its own thread.
 */
public final class StaticDiscoveryServer implements AutoCloseable {
    private static final Pattern WAIT = Pattern.compile("wait=(\\d+)");
    private static final int BACKLOG = 50;

    /** The number of requests answered, and the bytes of the responses. */
    public record Traffic(long calls, long bytes) {}

    private final ServerSocket listener =
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final String list;
    private final byte[] unchanged =
            response("{\"generation\":1,\"reset\":false,\"instances\":[]}");

    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();

    /** Starts a server that lists replicas spread evenly over the zones. */
    public StaticDiscoveryServer(int replicas, List<String> zones) throws IOException {
        list =
                IntStream.range(0, replicas)
                        .mapToObj(i -> entry(i, zones.get(i % zones.size())))
                        .collect(
                                Collectors.joining(
                                        ",",
                                        "{\"generation\":1,\"reset\":true,\"instances\":[",
                                        "]}"));
        Thread acceptor = new Thread(this::accept, "discovery");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** The name of a replica. */
    public static String replica(int number) {
        return "s-" + number;
    }

    private static String entry(int number, String zone) {
        return "{\"instanceId\":\""
                + replica(number)
                + "\",\"hostPort\":\"127.0.0.1:1\",\"zone\":\""
                + zone
                + "\",\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"Ready\",\"weight\":1.0,"
                + "\"startedAtMs\":0}";
    }

    private static byte[] response(String body) {
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** The port on loopback. */
    public int port() {
        return listener.getLocalPort();
    }

    /** The responses sent so far. */
    public Traffic traffic() {
        return new Traffic(calls.get(), bytes.get());
    }

    /** The full list of replicas as JSON. */
    public String list() {
        return list;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket call = listener.accept();
                Thread handler = new Thread(() -> answer(call), "discovery-call");
                handler.setDaemon(true);
                handler.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void answer(Socket call) {
        try (call) {
            StringBuilder head = new StringBuilder();
            InputStream in = call.getInputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                head.append((char) next);
                if (head.indexOf("\r\n\r\n") >= 0) {
                    byte[] answer = answer(head);
                    call.getOutputStream().write(answer);
                    calls.incrementAndGet();
                    bytes.addAndGet(answer.length);
                    head.setLength(0);
                }
            }
        } catch (IOException ended) {
            // The controller closed the connection.
        }
    }

    private byte[] answer(CharSequence head) {
        Matcher wait = WAIT.matcher(head);
        if (!wait.find()) {
            return response(list);
        }
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(Long.parseLong(wait.group(1))));
        return unchanged;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
