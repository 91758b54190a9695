package rockshift.testkit;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import rockshift.raft.ClientSessions;

/**
 * The state machine of simulated members: a list of all changes in the order in which they were
 * applied. Single-threaded.
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
        history.checkChangeApplied(number, changes.size());
        changes.add(number);
        return ByteBuffer.allocate(Integer.BYTES).putInt(changes.size() - 1).array();
    }

    @Override
    public byte[] snapshot() {
        ByteBuffer snapshot = ByteBuffer.allocate(changes.size() * Long.BYTES);
        changes.forEach(snapshot::putLong);
        return snapshot.array();
    }

    @Override
    public void restore(byte[] snapshot) {
        changes = decode(snapshot);
    }

    /** Decodes the changes of a snapshot. */
    static List<Long> decode(byte[] snapshot) {
        List<Long> changes = new ArrayList<>();
        ByteBuffer rest = ByteBuffer.wrap(snapshot);
        while (rest.hasRemaining()) {
            changes.add(rest.getLong());
        }
        return changes;
    }
}
