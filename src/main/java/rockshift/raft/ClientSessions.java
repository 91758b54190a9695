package rockshift.raft;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Applies agreed entries to a machine, each change of a session once however often it was proposed.
 * What a session was answered last is kept with it, and all of it is part of the snapshot. The same
 * entries leave the same state everywhere.
 */
public final class ClientSessions {
    /**
     * Sessions kept; one more drops the one that was unused longest, whose client must open
     * another.
     */
    public static final int MAX_SESSIONS = 512;

    /** What changes are applied to. It must come out the same on every member. */
    public interface StateMachine {
        /** Applies a change; answers what its client is told. */
        byte[] apply(long index, byte[] change);

        byte[] snapshot();

        void restore(byte[] image);
    }

    /**
     * How an entry ended: whether it took effect now, and what the client is told; a reason if it
     * was refused.
     */
    public record Outcome(boolean applied, byte[] answer, String rejection) {}

    /** A client's session: its number, its last change and what that was answered. */
    public record Session(long id, long serial, byte[] answer) {
        @Override
        public boolean equals(Object other) {
            return other instanceof Session that
                    && that.id == id
                    && that.serial == serial
                    && Arrays.equals(that.answer, answer);
        }

        @Override
        public int hashCode() {
            return Long.hashCode(id * 31 + serial);
        }
    }

    private static final byte[] NOTHING = {};

    private final SafetyRules rules;
    private final StateMachine stateMachine;

    /** By use, oldest first. */
    private final Map<Long, Session> sessions = new LinkedHashMap<>();

    public ClientSessions(SafetyRules rules, StateMachine machine) {
        this.rules = rules;
        this.stateMachine = machine;
    }

    /** Applies one committed entry, in the order of the log. */
    public Outcome apply(Entry entry) {
        if (entry.kind() == Entry.Kind.OPEN_SESSION) {
            if (!sessions.containsKey(entry.session())) {
                put(new Session(entry.session(), 0, NOTHING));
            }
            while (sessions.size() > MAX_SESSIONS) {
                sessions.remove(sessions.keySet().iterator().next());
            }
            return new Outcome(true, NOTHING, null);
        } else if (entry.kind() != Entry.Kind.CHANGE) {
            return new Outcome(false, NOTHING, null);
        }
        Session session = sessions.get(entry.session());
        if (session == null) {
            return new Outcome(false, NOTHING, "session-unknown");
        } else if (!rules.isNewSerial(entry.serial(), session.serial)) {
            return entry.serial() == session.serial
                    ? new Outcome(false, session.answer, null)
                    : new Outcome(false, NOTHING, "serial-past");
        }
        byte[] answer = stateMachine.apply(entry.index(), entry.body());
        put(new Session(entry.session(), entry.serial(), answer));
        return new Outcome(true, answer, null);
    }

    private void put(Session session) {
        sessions.remove(session.id);
        sessions.put(session.id, session);
    }

    /** The sessions, oldest use first. */
    public List<Session> sessions() {
        return new ArrayList<>(sessions.values());
    }

    public StateMachine stateMachine() {
        return stateMachine;
    }

    /** Takes a snapshot's sessions and state in place of its own. */
    public void restore(List<Session> kept, byte[] image) {
        sessions.clear();
        kept.forEach(this::put);
        stateMachine.restore(image);
    }
}
