package rockshift.cluster;

import java.io.IOException;
import java.util.List;
import java.util.random.RandomGenerator;
import rockshift.raft.ClientSessions;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Message;
import rockshift.raft.ProposalRejection;
import rockshift.raft.ProposalResult;
import rockshift.raft.RaftNode;
import rockshift.raft.RaftOutput;
import rockshift.raft.SafetyRules;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;
import rockshift.raft.Timing;
import rockshift.storage.DurableLog;
import rockshift.wire.StateCodec;

/**
 * One member's decisions: the protocol, the client sessions, and who waits for what. It does no
 * I/O, reads no clock and starts no thread, and the simulated cluster runs this same class.
 *
 * <p>One thread uses it: it hands in the time first, then what has come, and then has it {@link
 * #run}.
 */
public final class Engine implements RaftOutput {
    /** What surrounds a member. Calls come on the engine's thread and must not wait. */
    public interface Environment {
        /** Sends a message to another member; it may be lost. */
        void send(Message message);

        /** Has a save made durable elsewhere, which ends in {@link Engine#writeCompleted}. */
        void save(
                long writeNumber,
                TermAndVote vote,
                long from,
                List<Entry> entries,
                Snapshot snapshot);

        /** Has a snapshot saved elsewhere, which ends in {@link Engine#snapshotSaved}. */
        void saveSnapshot(Snapshot snapshot);

        /** Answers a request. */
        void answer(long request, Answer answer);

        /** An entry was applied here, with this outcome. */
        void applied(Entry entry, ClientSessions.Outcome outcome);

        /** All that was applied was replaced by a snapshot's state. */
        void restored(long index);

        /** Logs an event of the protocol. */
        void log(String line);
    }

    /**
     * The answer to a request.
     *
     * @param refused null, or why it had no effect; {@link #UNKNOWN} where that cannot be told: ask
     *     again, with the same serial number
     * @param leader the address to ask, if another member leads
     */
    public record Answer(String refused, byte[] body, long index, String leader) {
        /** In place of a reason: whether the request had an effect is not known. */
        public static final String UNKNOWN = "unknown";

        static Answer refused(String reason, String leader) {
            return new Answer(reason, new byte[0], 0, leader);
        }

        static Answer done(byte[] body, long index) {
            return new Answer(null, body, index, null);
        }
    }

    /** When a snapshot is taken: after so many entries, or so many bytes of them. */
    public record Compaction(long entries, long bytes) {}

    private final RaftNode raft;
    private final ClientSessions sessions;
    private final Compaction compaction;
    private final Environment environment;
    private final PendingProposals pending = new PendingProposals();

    /** Whether a snapshot is being kept. */
    private boolean savingSnapshot;

    /** The entry up to which the last snapshot was taken. */
    private long snapshotIndex;

    /**
     * Builds a member from what its disk held.
     *
     * @throws IOException if the snapshot's image cannot be decoded
     */
    public Engine(
            DurableLog.Recovered disk,
            Timing timing,
            SafetyRules rules,
            RandomGenerator random,
            long nowTicks,
            ClientSessions.StateMachine machine,
            Compaction compaction,
            Environment environment)
            throws IOException {
        this.compaction = compaction;
        this.environment = environment;
        sessions = new ClientSessions(rules, machine);
        raft =
                new RaftNode(
                        disk.id(),
                        timing,
                        rules,
                        random,
                        nowTicks,
                        disk.termAndVote(),
                        disk.snapshot(),
                        disk.entries());
        snapshotIndex = disk.snapshot().index();
        if (disk.snapshot().data().length > 0) {
            StateCodec.restoreImage(disk.snapshot().data(), sessions);
        }
    }

    /** The protocol's state, for reading. */
    public RaftNode raft() {
        return raft;
    }

    /** The sessions of clients, with the state machine. */
    public ClientSessions sessions() {
        return sessions;
    }

    /** The cluster was founded with these members, before anything else happened here. */
    public void bootstrap(Membership members) {
        raft.bootstrap(members);
    }

    /** Hands in the time. */
    public void tick(long nowTicks) {
        raft.tick(nowTicks);
    }

    /** Hands in a message of another member. */
    public void receive(Message message) {
        raft.receive(message);
    }

    /** A save is durable. */
    public void writeCompleted(long writeNumber) {
        raft.writeCompleted(writeNumber);
    }

    /** Whether the disk takes what it is given. */
    public void diskStatusChanged(boolean works) {
        raft.diskStatusChanged(works);
    }

    /** A snapshot is on the disk, or (null) could not be saved. */
    public void snapshotSaved(Snapshot snapshot) {
        savingSnapshot = false;
        if (snapshot != null) {
            raft.snapshotSaved(snapshot);
        }
    }

    /** Opens a session under a number that its client drew. */
    public void openSession(long request, long session) {
        propose(request, Entry.Kind.OPEN_SESSION, session, 0, new byte[0]);
    }

    /** Proposes a change within a session; a serial number is applied once. */
    public void proposeChange(long request, long session, long serial, byte[] body) {
        propose(request, Entry.Kind.CHANGE, session, serial, body);
    }

    private void propose(long request, Entry.Kind kind, long session, long serial, byte[] body) {
        if (pending.isFull()) {
            refuse(request, ProposalRejection.BUSY);
            return;
        }
        ProposalResult result = raft.propose(kind, session, serial, body);
        if (result.isAppended()) {
            pending.add(result.index(), request, raft.term());
        } else {
            refuse(request, result.rejection());
        }
    }

    /** Answers with the state machine's image once it is known to be no older than the call. */
    public void requestRead(long request) {
        raft.requestRead(request);
    }

    /** Adds or removes a member. */
    public void changeMembership(long request, Member member, boolean remove) {
        ProposalRejection rejection = raft.changeMembership(member, remove);
        if (rejection != null) {
            refuse(request, rejection);
        } else {
            pending.add(raft.log().lastIndex(), request, raft.term());
        }
    }

    /** Hands leadership over to another member. */
    public void transferLeadership(long request, long target) {
        ProposalRejection rejection = raft.transferLeadership(target);
        if (rejection != null) {
            refuse(request, rejection);
        } else {
            environment.answer(request, Answer.done(new byte[0], raft.commitIndex()));
        }
    }

    private void refuse(long request, ProposalRejection rejection) {
        boolean askLeader = rejection == ProposalRejection.NOT_LEADER;
        environment.answer(
                request, Answer.refused(rejection.code(), askLeader ? leaderAddress() : null));
    }

    /** The leader's address, or null where none is known. */
    private String leaderAddress() {
        Member leader = raft.membership().get(raft.leader());
        return leader == null ? null : leader.address();
    }

    /** Decides all that there is to decide now. */
    public void run() {
        while (raft.poll(this)) {
            continue;
        }
        if (!raft.isLeader() && !pending.isEmpty()) {
            abandonProposals();
        }
        if (isSnapshotDue() && !savingSnapshot) {
            takeSnapshot();
        }
    }

    /**
     * Another member leads now: whether the pending proposals will be agreed is not known here, and
     * nobody is kept waiting for it.
     */
    private void abandonProposals() {
        Answer unknown = Answer.refused(Answer.UNKNOWN, leaderAddress());
        pending.abandonAll(request -> environment.answer(request, unknown));
    }

    private boolean isSnapshotDue() {
        boolean manyEntries = raft.appliedIndex() - snapshotIndex >= compaction.entries();
        boolean manyBytes =
                raft.log().bytes() > compaction.bytes()
                        && raft.appliedIndex() > raft.snapshot().index();
        return manyEntries || manyBytes;
    }

    /** Takes a snapshot of what is applied; false if one is under way or nothing is new. */
    public boolean takeSnapshot() {
        if (savingSnapshot || raft.appliedIndex() <= raft.snapshot().index()) {
            return false;
        }
        try {
            long index = raft.appliedIndex();
            byte[] image =
                    StateCodec.encodeImage(sessions.sessions(), sessions.stateMachine().snapshot());
            savingSnapshot = true;
            snapshotIndex = index;
            environment.saveSnapshot(
                    new Snapshot(index, raft.log().term(index), raft.membershipAt(index), image));
            return true;
        } catch (IOException failure) {
            throw new IllegalStateException("the state machine's image", failure);
        }
    }

    @Override
    public void persist(
            long writeNumber, TermAndVote vote, long from, List<Entry> entries, Snapshot snapshot) {
        environment.save(writeNumber, vote, from, entries, snapshot);
    }

    @Override
    public void send(Message message) {
        environment.send(message);
    }

    @Override
    public void apply(Entry entry) {
        ClientSessions.Outcome outcome = sessions.apply(entry);
        pending.applied(
                entry.index(),
                entry.term(),
                (request, same) ->
                        environment.answer(
                                request,
                                same
                                        ? answer(entry, outcome)
                                        : Answer.refused(Answer.UNKNOWN, null)));
        environment.applied(entry, outcome);
    }

    private static Answer answer(Entry entry, ClientSessions.Outcome outcome) {
        return new Answer(outcome.rejection(), outcome.answer(), entry.index(), null);
    }

    @Override
    public void restore(Snapshot snapshot) {
        try {
            StateCodec.restoreImage(snapshot.data(), sessions);
        } catch (IOException damaged) {
            throw new IllegalStateException(
                    "snapshot of entry " + snapshot.index() + ": " + damaged.getMessage(), damaged);
        }
        snapshotIndex = snapshot.index();
        environment.restored(snapshot.index());
    }

    @Override
    public void readReady(long token) {
        environment.answer(
                token, Answer.done(sessions.stateMachine().snapshot(), raft.appliedIndex()));
    }

    @Override
    public void readRejected(long token) {
        refuse(token, ProposalRejection.NOT_LEADER);
    }

    @Override
    public void log(String line) {
        environment.log(line);
    }
}
