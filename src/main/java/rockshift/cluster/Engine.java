package rockshift.cluster;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import rockshift.raft.ClientSessions;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Message;
import rockshift.raft.ProposalRejection;
import rockshift.raft.RaftNode;
import rockshift.raft.RaftOutput;
import rockshift.raft.SafetyRules;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;
import rockshift.raft.Timing;
import rockshift.storage.DurableLog;
import rockshift.wire.RaftCodec;

/**
 * One member put together: the protocol, the sessions, and who waits for what. It does no I/O,
 * reads no clock and starts no thread: it is used by one thread, which hands in the time first,
 * then what came, and then has it {@link #run}. The rehearsed world and the real one use this same
 * class.
 */
public final class Engine implements RaftOutput {
    /** Requests that may wait for an answer: more are told to come again. */
    private static final int MOST_WAITING = 20_000;

    /** What surrounds a member. Calls come on the member's thread and must not wait. */
    public interface Environment {
        void send(Message message);

        /** Has a save made durable elsewhere, which ends in {@link Engine#saved}. */
        void save(
                long ticket, TermAndVote ballot, long from, List<Entry> entries, Snapshot snapshot);

        /** Has a snapshot kept elsewhere, which ends in {@link Engine#snapshotKept}. */
        void keepSnapshot(Snapshot snapshot);

        void answer(long request, Answer answer);

        /** An entry was applied here, and what it came to. */
        void applied(Entry entry, ClientSessions.Outcome outcome);

        /** All that was applied was replaced by a snapshot's state. */
        void restored(long index);

        void log(String line);
    }

    /**
     * What a request is told.
     *
     * @param refused null, or why it had no effect; {@code unknown} where that can't be told: ask
     *     again, with the same serial
     * @param leader the address to ask, if another one leads
     */
    public record Answer(String refused, byte[] body, long index, String leader) {
        public static final String UNKNOWN = "unknown";
    }

    /** When a snapshot is taken: after so many entries, or so many bytes of them. */
    public record Compaction(long entries, long bytes) {}

    private record Waiting(long request, long term) {}

    private final RaftNode raft;
    private final ClientSessions sessions;
    private final Compaction compaction;
    private final Environment environment;
    private final TreeMap<Long, Waiting> proposals = new TreeMap<>();
    private boolean keeping;
    private long keptAt;

    public Engine(
            DurableLog.Recovered disk,
            Timing timing,
            SafetyRules rules,
            RandomGenerator chance,
            long now,
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
                        chance,
                        now,
                        disk.ballot(),
                        disk.snapshot(),
                        disk.entries());
        keptAt = disk.snapshot().index();
        if (disk.snapshot().data().length > 0) {
            RaftCodec.restore(disk.snapshot().data(), sessions);
        }
    }

    public RaftNode raft() {
        return raft;
    }

    public ClientSessions sessions() {
        return sessions;
    }

    // ---- what comes in --------------------------------------------------------------------------

    /** The cluster was founded with these members, before anything else happened here. */
    public void bootstrap(Membership members) {
        raft.bootstrap(members);
    }

    public void tick(long now) {
        raft.tick(now);
    }

    public void receive(Message message) {
        raft.receive(message);
    }

    public void saved(long ticket) {
        raft.saved(ticket);
    }

    /** Whether the disk takes what it is given. */
    public void diskStatusChanged(boolean works) {
        raft.diskStatusChanged(works);
    }

    /** A snapshot is on the disk, or (null) could not be kept. */
    public void snapshotKept(Snapshot snapshot) {
        keeping = false;
        if (snapshot != null) {
            raft.snapshotTaken(snapshot);
        }
    }

    /** Opens a session under a number that its client drew. */
    public void openSession(long request, long session) {
        propose(request, Entry.Kind.OPEN_SESSION, session, 0, new byte[0]);
    }

    public void proposeChange(long request, long session, long serial, byte[] body) {
        propose(request, Entry.Kind.CHANGE, session, serial, body);
    }

    private void propose(long request, Entry.Kind kind, long session, long serial, byte[] body) {
        if (proposals.size() >= MOST_WAITING) {
            refuse(request, ProposalRejection.BUSY);
            return;
        }
        ProposalRejection[] why = new ProposalRejection[1];
        long index = raft.propose(kind, session, serial, body, why);
        if (why[0] != null) {
            refuse(request, why[0]);
        } else {
            proposals.put(index, new Waiting(request, raft.term()));
        }
    }

    /** Answers with the machine's image once that is known to be no older than the call. */
    public void requestRead(long request) {
        raft.requestRead(request);
    }

    public void changeMembership(long request, Member member, boolean remove) {
        ProposalRejection refusal = raft.changeMembership(member, remove);
        if (refusal != null) {
            refuse(request, refusal);
        } else {
            proposals.put(raft.log().lastIndex(), new Waiting(request, raft.term()));
        }
    }

    public void transferLeadership(long request, long to) {
        ProposalRejection refusal = raft.transferLeadership(to);
        if (refusal != null) {
            refuse(request, refusal);
        } else {
            environment.answer(request, new Answer(null, new byte[0], raft.commitIndex(), null));
        }
    }

    private void refuse(long request, ProposalRejection refusal) {
        Member leader = raft.membership().get(raft.leader());
        boolean elsewhere = refusal == ProposalRejection.NOT_LEADER && leader != null;
        environment.answer(
                request,
                new Answer(refusal.code(), new byte[0], 0, elsewhere ? leader.address() : null));
    }

    // ---- what follows ---------------------------------------------------------------------------

    /** Decides all that there is to decide now. */
    public void run() {
        while (raft.poll(this)) {
            continue;
        }
        if (!raft.isLeader() && !proposals.isEmpty()) {
            // Another leads now: whether these will be agreed is not known here, and nobody is kept
            // waiting
            // for it.
            Member leader = raft.membership().get(raft.leader());
            proposals
                    .values()
                    .forEach(
                            waiting ->
                                    environment.answer(
                                            waiting.request,
                                            new Answer(
                                                    Answer.UNKNOWN,
                                                    new byte[0],
                                                    0,
                                                    leader == null ? null : leader.address())));
            proposals.clear();
        }
        boolean much =
                raft.appliedIndex() - keptAt >= compaction.entries()
                        || raft.log().bytes() > compaction.bytes()
                                && raft.appliedIndex() > raft.snapshot().index();
        if (much && !keeping) {
            takeSnapshot();
        }
    }

    /** Takes a snapshot of what is applied; false if one is under way. */
    public boolean takeSnapshot() {
        if (keeping || raft.appliedIndex() <= raft.snapshot().index()) {
            return false;
        }
        try {
            long index = raft.appliedIndex();
            byte[] image = RaftCodec.image(sessions.sessions(), sessions.stateMachine().snapshot());
            keeping = true;
            keptAt = index;
            environment.keepSnapshot(
                    new Snapshot(index, raft.log().term(index), raft.membershipAt(index), image));
            return true;
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    @Override
    public void persist(
            long ticket, TermAndVote ballot, long from, List<Entry> entries, Snapshot snapshot) {
        environment.save(ticket, ballot, from, entries, snapshot);
    }

    @Override
    public void send(Message message) {
        environment.send(message);
    }

    @Override
    public void apply(Entry entry) {
        ClientSessions.Outcome outcome = sessions.apply(entry);
        while (!proposals.isEmpty() && proposals.firstKey() <= entry.index()) {
            Map.Entry<Long, Waiting> first = proposals.pollFirstEntry();
            Waiting waiting = first.getValue();
            boolean same = first.getKey() == entry.index() && waiting.term == entry.term();
            environment.answer(
                    waiting.request,
                    same
                            ? new Answer(outcome.rejection(), outcome.answer(), entry.index(), null)
                            : new Answer(Answer.UNKNOWN, new byte[0], 0, null));
        }
        environment.applied(entry, outcome);
    }

    @Override
    public void restore(Snapshot snapshot) {
        try {
            RaftCodec.restore(snapshot.data(), sessions);
        } catch (IOException damaged) {
            throw new IllegalStateException(
                    "snapshot of entry " + snapshot.index() + ": " + damaged.getMessage(), damaged);
        }
        keptAt = snapshot.index();
        environment.restored(snapshot.index());
    }

    @Override
    public void readReady(long token) {
        environment.answer(
                token,
                new Answer(null, sessions.stateMachine().snapshot(), raft.appliedIndex(), null));
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
