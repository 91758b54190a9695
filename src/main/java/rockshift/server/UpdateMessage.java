package rockshift.server;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import rockshift.planner.ProxyCommands;

/**
 * What one proxy is sent in one turn: parts, and at the end what concerns all its tables. Where the
 * parts are too many for one message of the protocol, they become several, one after the other.
 */
final class UpdateMessage {
    private static final List<String> MORE = List.of(RespCodec.MORE, "1");

    private final List<UpdatePart> parts = new ArrayList<>();
    private final List<String> end = new ArrayList<>();

    /** How many messages so many parts take. */
    static int messages(int parts) {
        return (parts + ProxyCommands.MAX_PARTS_PER_MESSAGE - 1)
                / ProxyCommands.MAX_PARTS_PER_MESSAGE;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    void add(UpdatePart part) {
        parts.add(part);
    }

    /** Tells replicas that the proxy is to keep off. */
    void out(String replicas) {
        end.addAll(List.of(RespCodec.OUT, replicas));
    }

    /** Tells replicas that the proxy may send to again. */
    void back(String replicas) {
        end.addAll(List.of(RespCodec.BACK, replicas));
    }

    void mark(int serial) {
        end.addAll(List.of(RespCodec.MARK, Integer.toString(serial)));
    }

    /** The bytes of the messages. All parts of one but its last say that more follows. */
    byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int i = 1; i < parts.size(); i++) {
            parts.get(i - 1)
                    .write(i % ProxyCommands.MAX_PARTS_PER_MESSAGE == 0 ? List.of() : MORE, bytes);
        }
        parts.get(parts.size() - 1).write(end, bytes);
        return bytes.toByteArray();
    }
}
