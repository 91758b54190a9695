package rockshift.testkit;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import rockshift.raft.ClientSessions;

/**
 * The state machine of simulated members: the list of all changes, in the order in which they took
 * effect. Single-threaded.
 */
final class ChangeList implements ClientSessions.StateMachine {
    private final HistoryChecker history;
    private List<Long> changes = new ArrayList<>();

    ChangeList(HistoryChecker history) {
        this.history = history;
    }

    List<Long> changes() {
        return changes;
    }

    /** A hash of the state, by which members are compared. */
    int stateHash() {
        return changes.hashCode();
    }

    @Override
    public byte[] apply(long index, byte[] change) {
        long number = ByteBuffer.wrap(change).getLong();
        history.checkEffect(number, changes.size());
        changes.add(number);
        return ByteBuffer.allocate(Integer.BYTES).putInt(changes.size() - 1).array();
    }

    @Override
    public byte[] snapshot() {
        ByteBuffer image = ByteBuffer.allocate(changes.size() * Long.BYTES);
        changes.forEach(image::putLong);
        return image.array();
    }

    @Override
    public void restore(byte[] image) {
        changes = decode(image);
    }

    /** The changes that an image of the list holds. */
    static List<Long> decode(byte[] image) {
        List<Long> changes = new ArrayList<>();
        ByteBuffer rest = ByteBuffer.wrap(image);
        while (rest.hasRemaining()) {
            changes.add(rest.getLong());
        }
        return changes;
    }
}
