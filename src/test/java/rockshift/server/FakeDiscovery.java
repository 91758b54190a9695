package rockshift.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A fake of discovery's agent. It answers calls one by one with the answers that a test has
 * enqueued. Without an answer, a call is held; a watch is held for the time that it requests and
 * then answered with no changes. If the caller has given up a call, the next call gets its answer.
 */
final class FakeDiscovery implements AutoCloseable {
    /** Stands for no answer: the call is held forever, and its connection stays open. */
    static final String NO_ANSWER = "";

    final LinkedBlockingDeque<String> answers = new LinkedBlockingDeque<>();

    /** The distinct calls received, in order. */
    final Set<String> calls = Collections.synchronizedSet(new LinkedHashSet<>());

    private final List<Socket> unanswered = Collections.synchronizedList(new ArrayList<>());
    private final ServerSocket listener;

    FakeDiscovery() {
        try {
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException failure) {
            throw new AssertionError(failure);
        }
        Thread thread = new Thread(this::answerConnections, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    private void answerConnections() {
        while (!listener.isClosed()) {
            Socket socket = null;
            try {
                socket = listener.accept();
                while (answerCall(socket)) {
                    continue;
                }
            } catch (IOException ended) {
                // The controller reconnects, or the test has ended.
            } catch (InterruptedException ended) {
                return;
            } finally {
                if (!unanswered.contains(socket)) {
                    closeQuietly(socket);
                }
            }
        }
    }

    /**
     * Answers one call.
     *
     * @return false if it was the last call of the connection
     */
    private boolean answerCall(Socket socket) throws IOException, InterruptedException {
        String call = readRequestLine(socket);
        if (call == null) {
            return false;
        }
        calls.add(call);
        String answer = answer(call);
        if (answer.equals(NO_ANSWER)) {
            unanswered.add(socket);
            return false;
        }
        if (isClosedByCaller(socket)) {
            answers.addFirst(answer);
            return false;
        }
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        return answer.startsWith("HTTP/1.1 200") && !answer.endsWith("half");
    }

    private String answer(String call) throws InterruptedException {
        Matcher watch = Pattern.compile("index=(\\d+)&wait=(\\d+)").matcher(call);
        if (!watch.find()) {
            return answers.take();
        }
        String answer = answers.poll(Long.parseLong(watch.group(2)), TimeUnit.MILLISECONDS);
        return answer == null
                ? http(ControllerFixture.list(Integer.parseInt(watch.group(1)), false))
                : answer;
    }

    private static boolean isClosedByCaller(Socket socket) throws IOException {
        try {
            socket.setSoTimeout(1);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException waits) {
            return false;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the first line of a call, or null at the end of the connection. */
    static String readRequestLine(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.substring(0, head.indexOf("\r\n"));
    }

    void enqueue(String body) {
        answers.add(http(body));
    }

    static String http(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void closeQuietly(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException gone) {
            // Nothing to do: the socket is no longer used.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        unanswered.forEach(FakeDiscovery::closeQuietly);
    }
}
