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
 * The core of a member: the Raft node, the client sessions, and the requests that wait for an
 * answer. It does no I/O, reads no clock and starts no thread; the simulated cluster runs this same
 * class.
 *
 * <p>Not thread-safe. The caller passes in the time first, then the received inputs, and then calls
 * {@link #run}.
 */
public final class Engine implements RaftOutput {
    /** The host of an engine. Methods are called on the engine's thread and must not block. */
    public interface Environment {
        /** Sends a message to another member; the message may be lost. */
        void send(Message message);

        /**
         * Writes to disk asynchronously, see {@link RaftOutput#persist}, and calls {@link
         * Engine#writeCompleted} once it is durable.
         */
        void save(
                long writeNumber,
                TermAndVote termAndVote,
                long firstIndex,
                List<Entry> entries,
                Snapshot snapshot);

        /** Saves a snapshot asynchronously, and calls {@link Engine#snapshotSaved} at the end. */
        void saveSnapshot(Snapshot snapshot);

        /** Answers a request. */
        void answer(long request, Answer answer);

        /** Called after an entry was applied, with its outcome. */
        void applied(Entry entry, ClientSessions.Outcome outcome);

        /** Called after a snapshot replaced the whole applied state. */
        void restored(long index);

        /** Logs an event of the protocol. */
        void log(String line);
    }

    /**
     * The answer to a request.
     *
     * @param refused why the request had no effect, or null; {@link #UNKNOWN} if it may have had
     *     one, in which case it must be retried with the same serial number
     * @param leader the address of the leader, if another member leads, or null
     */
    public record Answer(String refused, byte[] body, long index, String leader) {
        /** Instead of a reason: it is not known whether the request had an effect. */
        public static final String UNKNOWN = "unknown";

        static Answer refused(String reason, String leader) {
            return new Answer(reason, new byte[0], 0, leader);
        }

        static Answer done(byte[] body, long index) {
            return new Answer(null, body, index, null);
        }
    }

    /** The number of applied entries, or of bytes in the log, after which a snapshot is taken. */
    public record Compaction(long entries, long bytes) {}

    private final RaftNode raft;
    private final ClientSessions sessions;
    private final Compaction compaction;
    private final Environment environment;
    private final PendingProposals pending = new PendingProposals();

    /** Whether a snapshot is being saved. */
    private boolean savingSnapshot;

    /** The index up to which the last snapshot was taken. */
    private long snapshotIndex;

    /**
     * Creates an engine from the state recovered from the disk.
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
                        disk.memberId(),
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

    /** Returns the Raft node, for reading only. */
    public RaftNode raft() {
        return raft;
    }

    /** Returns the client sessions, with the state machine. */
    public ClientSessions sessions() {
        return sessions;
    }

    /** Sets the founders of a new cluster; called before any other input. */
    public void bootstrap(Membership members) {
        raft.bootstrap(members);
    }

    /** Passes in the time. */
    public void tick(long nowTicks) {
        raft.tick(nowTicks);
    }

    /** Passes in a message from another member. */
    public void receive(Message message) {
        raft.receive(message);
    }

    /** Called once a write is durable. */
    public void writeCompleted(long writeNumber) {
        raft.writeCompleted(writeNumber);
    }

    /** Called with whether the disk accepts writes. */
    public void diskStatusChanged(boolean works) {
        raft.diskStatusChanged(works);
    }

    /** Called once a snapshot was saved, or with null if it could not be. */
    public void snapshotSaved(Snapshot snapshot) {
        savingSnapshot = false;
        if (snapshot != null) {
            raft.snapshotSaved(snapshot);
        }
    }

    /** Opens a session under an id that the client drew at random. */
    public void openSession(long request, long session) {
        propose(request, Entry.Kind.OPEN_SESSION, session, 0, new byte[0]);
    }

    /** Proposes a change in a session; a serial number is applied at most once. */
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

    /** Answers with an image of the state machine that is at least as recent as the call. */
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

    /** Transfers leadership to another member. */
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

    /** Returns the leader's address, or null if no leader is known. */
    private String leaderAddress() {
        Member leader = raft.membership().get(raft.leader());
        return leader == null ? null : leader.address();
    }

    /**
     * Runs the protocol until it has no more output, answers the proposals that were abandoned, and
     * takes a snapshot if one is due.
     */
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
     * Answers the pending proposals as unknown. This member no longer leads and cannot know whether
     * they will be committed, so their clients are not kept waiting.
     */
    void abandonProposals() {
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

    /**
     * Takes a snapshot of the applied state.
     *
     * @return false if one is being saved already, or nothing was applied since the last one
     */
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
            throw new IllegalStateException(
                    "cannot encode the image of the state machine", failure);
        }
    }

    @Override
    public void persist(
            long writeNumber,
            TermAndVote termAndVote,
            long firstIndex,
            List<Entry> entries,
            Snapshot snapshot) {
        environment.save(writeNumber, termAndVote, firstIndex, entries, snapshot);
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
                (request, sameEntry) ->
                        environment.answer(
                                request,
                                sameEntry
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
                    "cannot restore the snapshot at index "
                            + snapshot.index()
                            + ": "
                            + damaged.getMessage(),
                    damaged);
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
