package rockshift.raft;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A change takes effect once, however often its client sends it. */
class ClientSessionsTest {
    private final List<Byte> appliedChanges = new ArrayList<>();
    private final ClientSessions.StateMachine stateMachine =
            new ClientSessions.StateMachine() {
                @Override
                public byte[] apply(long index, byte[] change) {
                    appliedChanges.add(change[0]);
                    return new byte[] {(byte) appliedChanges.size()};
                }

                @Override
                public byte[] snapshot() {
                    return new byte[0];
                }

                @Override
                public void restore(byte[] image) {
                    appliedChanges.clear();
                }
            };
    private final ClientSessions sessions = new ClientSessions(new SafetyRules(), stateMachine);
    private long index;

    private ClientSessions.Outcome open(long session) {
        return sessions.apply(
                new Entry(++index, 1, Entry.Kind.OPEN_SESSION, session, 0, new byte[0], null));
    }

    private ClientSessions.Outcome change(long session, long serial, int change) {
        return sessions.apply(
                new Entry(
                        ++index,
                        1,
                        Entry.Kind.CHANGE,
                        session,
                        serial,
                        new byte[] {(byte) change},
                        null));
    }

    /**
     * A client does not receive the answer to a change and sends the change again, also after a
     * later one.
     */
    @Test
    void retriedChangeIsAppliedOnceAndGetsTheSameAnswer() {
        open(9);
        assertThat(change(9, 1, 5).answer()).containsExactly(1);
        ClientSessions.Outcome retried = change(9, 1, 5);
        assertThat(retried.applied()).isFalse();
        assertThat(retried.answer()).containsExactly(1);
        assertThat(change(9, 2, 6).answer()).containsExactly(2);
        assertThat(change(9, 1, 5).rejection()).isEqualTo("serial-past");
        assertThat(appliedChanges).containsExactly((byte) 5, (byte) 6);
    }

    /**
     * A client sends a change after its session was evicted: whether it was already applied is
     * unknown.
     */
    @Test
    void changeInAnUnknownSessionIsRejected() {
        assertThat(change(9, 1, 5).rejection()).isEqualTo("session-unknown");
        assertThat(appliedChanges).isEmpty();
    }

    @Test
    void sessionsSurviveASnapshotAndTheLeastRecentlyUsedIsEvicted() {
        for (long session = 1; session <= ClientSessions.MAX_SESSIONS; session++) {
            open(session);
        }
        change(1, 1, 5);
        open(10_000);
        assertThat(sessions.sessions()).hasSize(ClientSessions.MAX_SESSIONS);
        ClientSessions restored = new ClientSessions(new SafetyRules(), stateMachine);
        restored.restore(sessions.sessions(), new byte[0]);
        assertThat(restored.sessions()).isEqualTo(sessions.sessions());
        assertThat(change(2, 1, 5).rejection())
                .as("change in the least recently used session")
                .isEqualTo("session-unknown");
        assertThat(
                        restored.apply(
                                        new Entry(
                                                99,
                                                1,
                                                Entry.Kind.CHANGE,
                                                1,
                                                1,
                                                new byte[] {5},
                                                null))
                                .applied())
                .isFalse();
    }
}
