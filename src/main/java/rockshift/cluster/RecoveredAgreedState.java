package rockshift.cluster;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import rockshift.raft.ClientSessions;
import rockshift.raft.SafetyRules;
import rockshift.storage.DurableLog;
import rockshift.wire.StateCodec;

/**
 * The agreed state that a member's folder leads to if all entries in it are committed. Which of
 * them are is learned from the leader only.
 */
final class RecoveredAgreedState {
    private RecoveredAgreedState() {}

    /**
     * Returns the state, with the version of the snapshot in the folder, so that each entry that
     * turns out to be committed replaces it.
     *
     * @throws IOException if the snapshot's image cannot be decoded
     */
    static AgreedStateSnapshot of(DurableLog.Recovered recovered) throws IOException {
        AgreedState agreed = new AgreedState();
        ClientSessions sessions = new ClientSessions(new SafetyRules(), agreed);
        if (recovered.snapshot().data().length > 0) {
            StateCodec.restoreImage(recovered.snapshot().data(), sessions);
        }
        long snapshotVersion = agreed.version();
        recovered.entries().forEach(sessions::apply);
        return new AgreedStateSnapshot(
                snapshotVersion,
                new TreeMap<>(agreed.drains()),
                new TreeMap<>(agreed.overrides()),
                Map.of());
    }
}
