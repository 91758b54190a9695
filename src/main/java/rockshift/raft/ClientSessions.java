package rockshift.raft;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Applies committed entries to a state machine. Each change in a client session is applied once,
 * however often it was proposed. The last answer of a session is kept with it, and all sessions are
 * part of the snapshot. The same entries lead to the same state on every member.
 */
public final class ClientSessions {
    /**
     * Opening another session evicts the least recently used one, whose client must open a new
     * session.
     */
    public static final int MAX_SESSIONS = 512;

    /**
     * The state machine that changes are applied to. Must be deterministic: the same changes lead
     * to the same state on every member.
     */
    public interface StateMachine {
        /** Applies a change and returns the answer to its client. */
        byte[] apply(long index, byte[] change);

        /** Returns an image of the whole state. */
        byte[] snapshot();

        /** Replaces the state with that of an image. */
        void restore(byte[] image);
    }

    /**
     * The result of applying an entry.
     *
     * @param applied whether the entry took effect in this call
     * @param answer the answer to the client
     * @param rejection why it was rejected, null if it was not
     */
    public record Outcome(boolean applied, byte[] answer, String rejection) {}

    /**
     * A client's session.
     *
     * @param serial the serial of its last change, 0 before the first
     * @param answer the answer to that change
     */
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

    private static final byte[] NO_ANSWER = {};

    private final SafetyRules rules;
    private final StateMachine stateMachine;

    /** By id, least recently used first. */
    private final Map<Long, Session> sessions = new LinkedHashMap<>();

    /** Creates an empty set of sessions for a state machine in its initial state. */
    public ClientSessions(SafetyRules rules, StateMachine stateMachine) {
        this.rules = rules;
        this.stateMachine = stateMachine;
    }

    /** Applies one committed entry. Entries must be passed in log order. */
    public Outcome apply(Entry entry) {
        return switch (entry.kind()) {
            case OPEN_SESSION -> openSession(entry.session());
            case CHANGE -> applyChange(entry);
            case NO_OP, MEMBERSHIP -> new Outcome(false, NO_ANSWER, null);
        };
    }

    private Outcome openSession(long id) {
        if (!sessions.containsKey(id)) {
            put(new Session(id, 0, NO_ANSWER));
        }
        while (sessions.size() > MAX_SESSIONS) {
            sessions.remove(sessions.keySet().iterator().next());
        }
        return new Outcome(true, NO_ANSWER, null);
    }

    private Outcome applyChange(Entry entry) {
        Session session = sessions.get(entry.session());
        if (session == null) {
            return new Outcome(false, NO_ANSWER, "session-unknown");
        }
        if (!rules.isNewSerial(entry.serial(), session.serial)) {
            return entry.serial() == session.serial
                    ? new Outcome(false, session.answer, null)
                    : new Outcome(false, NO_ANSWER, "serial-past");
        }
        byte[] answer = stateMachine.apply(entry.index(), entry.body());
        put(new Session(entry.session(), entry.serial(), answer));
        return new Outcome(true, answer, null);
    }

    /** Adds or replaces a session as the most recently used one. */
    private void put(Session session) {
        sessions.remove(session.id);
        sessions.put(session.id, session);
    }

    /** Returns the sessions, least recently used first. */
    public List<Session> sessions() {
        return new ArrayList<>(sessions.values());
    }

    /** Returns the state machine that changes are applied to. */
    public StateMachine stateMachine() {
        return stateMachine;
    }

    /** Replaces the sessions and the state with those of a snapshot. */
    public void restore(List<Session> restored, byte[] image) {
        sessions.clear();
        restored.forEach(this::put);
        stateMachine.restore(image);
    }
}
