package rockshift.server;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import rockshift.planner.ProxyCommands;

/**
 * The update that one proxy is sent in one turn: parts, and a trailer after the last part that
 * applies to all its tables. Parts beyond the protocol's limit for a message go into further
 * messages. Used only by the event loop's thread.
 */
final class UpdateMessage {
    private static final List<String> MORE_PARTS = List.of(RespCodec.MORE_PARTS, "1");

    private final List<UpdatePart> parts = new ArrayList<>();
    private final List<String> trailer = new ArrayList<>();

    /** Returns the number of messages that a number of parts takes. */
    static int messageCount(int parts) {
        return (parts + ProxyCommands.MAX_PARTS_PER_MESSAGE - 1)
                / ProxyCommands.MAX_PARTS_PER_MESSAGE;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    void add(UpdatePart part) {
        parts.add(part);
    }

    /** Adds the names of replicas, joined by commas, that the proxy may not send to from now on. */
    void exclude(String replicas) {
        trailer.addAll(List.of(RespCodec.EXCLUDED, replicas));
    }

    /** Adds the names of replicas, joined by commas, that the proxy may send to again. */
    void readmit(String replicas) {
        trailer.addAll(List.of(RespCodec.READMITTED, replicas));
    }

    /** Requests an acknowledgement of the message with a serial number. */
    void requestAcknowledgement(int serial) {
        trailer.addAll(List.of(RespCodec.ACKNOWLEDGE, Integer.toString(serial)));
    }

    /**
     * Encodes the messages. All parts of a message except its last are marked as followed by more.
     */
    byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int i = 1; i < parts.size(); i++) {
            boolean endsMessage = i % ProxyCommands.MAX_PARTS_PER_MESSAGE == 0;
            parts.get(i - 1).write(endsMessage ? List.of() : MORE_PARTS, bytes);
        }
        parts.get(parts.size() - 1).write(trailer, bytes);
        return bytes.toByteArray();
    }
}
