package rockshift.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import rockshift.config.Section;
import rockshift.wire.Frames;

/**
 * Speaks to members as staff's commands do: asks one, goes where it points, and asks again under
 * the same serial until it is told what came of it or its time is up. It waits for answers, and is
 * used by one thread.
 */
public final class ClusterClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DIAL = 500;
    private static final int PAUSE = 50;

    /** Nobody answered, or nobody could say what came of it. */
    public static final class UnansweredException extends IOException {
        private static final long serialVersionUID = 1L;

        UnansweredException(String what) {
            super(what);
        }
    }

    private final ArrayDeque<String> addresses;
    private final RandomGenerator chance;
    private final int patience;
    private long session;
    private long serial;
    private long calls;
    private String at;
    private Socket socket;
    private DataInputStream in;

    /**
     * @param patience ms for one call until another member is asked
     */
    public ClusterClient(List<String> addresses, RandomGenerator chance, int patience) {
        this.addresses = new ArrayDeque<>(addresses);
        this.chance = chance;
        this.patience = patience;
    }

    public static ObjectNode call(String op) {
        return JSON.createObjectNode().put("op", op);
    }

    /** One call to one member. */
    public JsonNode ask(String address, ObjectNode call) throws IOException {
        if (!address.equals(at) || socket == null) {
            close();
            InetSocketAddress remote = remote(address);
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(patience);
            socket.connect(remote, DIAL);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            at = address;
        }
        try {
            long number = ++calls;
            call.put("call", number);
            socket.getOutputStream().write(Frames.frame(Frames.CALL, JSON.writeValueAsBytes(call)));
            while (true) {
                Frames.Frame frame = Frames.read(in);
                JsonNode answer =
                        frame.kind() == Frames.REPLY ? JSON.readTree(frame.payload()) : null;
                if (answer != null && answer.path("call").asLong() == number) {
                    return answer;
                }
            }
        } catch (IOException failure) {
            close();
            throw failure;
        }
    }

    private static InetSocketAddress remote(String address) throws IOException {
        try {
            return Section.socket(address);
        } catch (IllegalArgumentException wrong) {
            throw new IOException(wrong.getMessage(), wrong);
        }
    }

    /** Asks members in turn, the one that leads once it is known, until one answers for good. */
    public JsonNode askLeader(ObjectNode call, long deadlineMs)
            throws IOException, InterruptedException {
        String trouble = "no member was asked";
        while (System.nanoTime() / 1_000_000 < deadlineMs) {
            String first = addresses.getFirst();
            try {
                JsonNode answer = ask(first, call);
                String refused = answer.path("refused").asText("");
                if (!passing(refused)) {
                    return answer;
                }
                trouble = first + ": " + refused;
                call.put(
                        "again",
                        call.path("again").asBoolean() || refused.equals(Engine.Answer.UNKNOWN));
                String leader = answer.path("leader").asText("");
                if (leader.isEmpty()) {
                    addresses.addLast(addresses.removeFirst());
                } else {
                    addresses.remove(leader);
                    addresses.addFirst(leader);
                }
            } catch (IOException failure) {
                trouble = first + ": " + failure.getMessage();
                call.put("again", true);
                addresses.addLast(addresses.removeFirst());
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE + chance.nextInt(PAUSE));
        }
        throw new UnansweredException(trouble);
    }

    private static boolean passing(String refused) {
        return List.of("not-leader", Engine.Answer.UNKNOWN, "busy", "handing-over", "disk")
                .contains(refused);
    }

    /** Has a change agreed, once, however often it must be asked for. */
    public JsonNode change(Change change, boolean force, long deadlineMs)
            throws IOException, InterruptedException {
        if (session == 0) {
            session = chance.nextLong() >>> 1 | 1;
            askLeader(call("open").put("session", session), deadlineMs);
        }
        serial++;
        return askLeader(
                call("change")
                        .put("session", session)
                        .put("serial", serial)
                        .put("force", force)
                        .put(
                                "change",
                                new String(change.json(), java.nio.charset.StandardCharsets.UTF_8)),
                deadlineMs);
    }

    /** The status of each member that answers, by address. */
    public Map<String, JsonNode> statuses() {
        Map<String, JsonNode> found = new java.util.LinkedHashMap<>();
        for (String address : List.copyOf(addresses)) {
            try {
                found.put(address, ask(address, call("status")));
            } catch (IOException failure) {
                found.put(
                        address,
                        JSON.createObjectNode()
                                .put("unreached", String.valueOf(failure.getMessage())));
            }
        }
        return found;
    }

    @Override
    public void close() throws IOException {
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }
}
