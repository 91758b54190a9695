package rockshift.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import rockshift.config.Section;
import rockshift.wire.Frames;

/**
 * A blocking client for the commands of members. It sends a call to one member, follows the leader
 * address in the answer, and retries with the same serial number until it gets the outcome or the
 * deadline passes. Not thread-safe.
 */
public final class ClusterClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CONNECT_TIMEOUT_MS = 500;

    /** The minimum pause before a retry; a random pause of up to the same length is added. */
    private static final int RETRY_PAUSE_MS = 50;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Refusals after which the same call may succeed at the same or another member. */
    private static final Set<String> TRANSIENT_REFUSALS =
            Set.of(
                    "not-leader",
                    Engine.Answer.UNKNOWN,
                    "busy",
                    "handing-over",
                    "disk",
                    "members-unsettled");

    /** Thrown if no member answered with the outcome before the deadline. */
    public static final class UnansweredException extends IOException {
        private static final long serialVersionUID = 1L;

        UnansweredException(String lastFailure) {
            super(lastFailure);
        }
    }

    /** The addresses of the members, starting with the one to ask next. */
    private final ArrayDeque<String> addresses;

    private final RandomGenerator random;
    private final int answerTimeoutMillis;

    /** The session in which changes are proposed; 0 before the first change. */
    private long session;

    private long lastSerial;
    private long lastCall;

    /** The address that the socket was last connected to, or null. */
    private String connectedAddress;

    private Socket socket;
    private DataInputStream input;

    /**
     * Creates a client, which connects when a call is made.
     *
     * @param answerTimeoutMillis how long to wait for the answer of one member
     */
    public ClusterClient(List<String> addresses, RandomGenerator random, int answerTimeoutMillis) {
        this.addresses = new ArrayDeque<>(addresses);
        this.random = random;
        this.answerTimeoutMillis = answerTimeoutMillis;
    }

    /** Creates a call of an operation, to which the caller adds its fields. */
    public static ObjectNode newCall(String operation) {
        return JSON.createObjectNode().put("op", operation);
    }

    /** Sends a call to one member, and returns its reply. */
    public JsonNode send(String address, ObjectNode call) throws IOException {
        if (!address.equals(connectedAddress) || socket == null) {
            connect(address);
        }
        try {
            lastCall++;
            call.put("call", lastCall);
            socket.getOutputStream().write(Frames.frame(Frames.CALL, JSON.writeValueAsBytes(call)));
            return readReply(lastCall);
        } catch (IOException failure) {
            close();
            throw failure;
        }
    }

    private void connect(String address) throws IOException {
        close();
        InetSocketAddress remote = parse(address);
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(answerTimeoutMillis);
        socket.connect(remote, CONNECT_TIMEOUT_MS);
        input = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        connectedAddress = address;
    }

    private static InetSocketAddress parse(String address) throws IOException {
        try {
            return Section.parseAddress(address);
        } catch (IllegalArgumentException invalid) {
            throw new IOException(invalid.getMessage(), invalid);
        }
    }

    /** Reads frames until the reply to a call; skips replies to earlier calls that timed out. */
    private JsonNode readReply(long call) throws IOException {
        while (true) {
            Frames.Frame frame = Frames.read(input);
            if (frame.kind() == Frames.REPLY) {
                JsonNode reply = JSON.readTree(frame.payload());
                if (reply.path("call").asLong() == call) {
                    return reply;
                }
            }
        }
    }

    /**
     * Sends a call to members in turn, or to the leader once it is known, until one answers with a
     * result or a permanent refusal.
     *
     * @param deadlineMillis the deadline on the clock of {@link System#nanoTime}, in milliseconds
     * @throws UnansweredException if the deadline passes first
     */
    public JsonNode sendToLeader(ObjectNode call, long deadlineMillis)
            throws IOException, InterruptedException {
        String lastFailure = "no member was asked";
        while (System.nanoTime() / NANOS_PER_MILLI < deadlineMillis) {
            String address = addresses.getFirst();
            try {
                JsonNode answer = send(address, call);
                String refused = answer.path("refused").asText("");
                if (!TRANSIENT_REFUSALS.contains(refused)) {
                    return answer;
                }
                lastFailure = address + ": " + refused;
                boolean mayBeApplied = refused.equals(Engine.Answer.UNKNOWN);
                call.put("again", call.path("again").asBoolean() || mayBeApplied);
                followLeader(answer.path("leader").asText(""));
            } catch (IOException failure) {
                lastFailure = address + ": " + failure.getMessage();
                call.put("again", true);
                rotate();
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MS + random.nextInt(RETRY_PAUSE_MS));
        }
        throw new UnansweredException(lastFailure);
    }

    private void followLeader(String leader) {
        if (leader.isEmpty()) {
            rotate();
        } else {
            addresses.remove(leader);
            addresses.addFirst(leader);
        }
    }

    /** Moves the current member to the end of the queue. */
    private void rotate() {
        addresses.addLast(addresses.removeFirst());
    }

    /** Proposes a change; it is applied at most once, however often it is sent. */
    public JsonNode change(Change change, boolean force, long deadlineMillis)
            throws IOException, InterruptedException {
        if (session == 0) {
            session = random.nextLong() >>> 1 | 1;
            sendToLeader(newCall("open").put("session", session), deadlineMillis);
        }
        lastSerial++;
        ObjectNode call =
                newCall("change")
                        .put("session", session)
                        .put("serial", lastSerial)
                        .put("force", force)
                        .put("change", new String(change.json(), StandardCharsets.UTF_8));
        return sendToLeader(call, deadlineMillis);
    }

    /** Returns the status of each member by address, or the cause if it cannot be reached. */
    public Map<String, JsonNode> statuses() {
        Map<String, JsonNode> statuses = new LinkedHashMap<>();
        for (String address : List.copyOf(addresses)) {
            try {
                statuses.put(address, send(address, newCall("status")));
            } catch (IOException failure) {
                String cause = String.valueOf(failure.getMessage());
                statuses.put(address, JSON.createObjectNode().put("unreached", cause));
            }
        }
        return statuses;
    }

    @Override
    public void close() throws IOException {
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }
}
