package rockshift.raft;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * One member's part in the protocol. The host calls an input method for each thing that happens,
 * then {@link #poll} until that answers false; what is decided comes out through {@link
 * RaftOutput}. Inputs only update what is known. Times are tenths of a millisecond on the host's
 * even clock; the host hands in the time before anything else, so that a member that stood still
 * notices first. The conditions on which safety rests stand in {@link SafetyRules}; docs/raft.md
 * tells the rest.
 */
public final class RaftNode {
    // ---- constants: unit, and the reason for the size -------------------------------------------
    /**
     * Messages in flight to one follower: a few round trips of a slow link, and a bound on what a
     * dead one is owed.
     */
    private static final int FLIGHT = 32;

    /** Bytes of entries in one message: a part of the largest frame, and little to send again. */
    private static final int MOST_BYTES = 128 << 10;

    /** Bytes of one piece of a snapshot. */
    private static final int PIECE = 64 << 10;

    /** Bytes of the largest snapshot that is taken in: a quarter of the smallest heap. */
    public static final int MAX_SNAPSHOT_BYTES = 16 << 20;

    /** Bytes of the largest change. */
    public static final int MAX_CHANGE_BYTES = 64 << 10;

    /**
     * Entries and bytes that may wait to be committed: beyond it proposals are refused, not queued.
     */
    private static final int MOST_OPEN = 20_000;

    private static final long MOST_OPEN_BYTES = 8 << 20;

    /** Reads that may wait for a round. */
    private static final int MOST_READS = 4_096;

    /** Entries by which one that joins may be behind as it gets its vote: a heartbeat's worth. */
    private static final int CLOSE = 512;

    /** Entries kept below a snapshot, so that who is a little behind needs no snapshot. */
    private static final int TAIL = 2_000;

    /** What a member is in the current term; one on trial asks whether it would be elected. */
    public enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    private record Read(long token, long round, long index) {}

    private record Held(long ticket, Message message) {}

    /** Where a member stands, for staff and for checks. */
    public record Status(
            Role role,
            long term,
            long leader,
            long commitIndex,
            long appliedIndex,
            long durableIndex,
            long firstIndex,
            long lastIndex,
            Membership membership,
            Map<Long, Long> matchIndexes,
            boolean holdsLease) {}

    // ---- state ----------------------------------------------------------------------------------
    private final long id;
    private final Timing timing;
    private final SafetyRules rules;
    private final RandomGenerator chance;
    private final Log log;
    private final ArrayDeque<String> notes = new ArrayDeque<>();
    private long now;
    private TermAndVote ballot;
    private Snapshot snapshot;

    /** Memberships by the index from which they hold; the last is in force. */
    private final TreeMap<Long, Membership> configs = new TreeMap<>();

    private Role role = Role.FOLLOWER;
    private long leader;
    private long heardAt;
    private long campaignAt;
    private final Set<Long> given = new HashSet<>();
    private long commitIndex;
    private long appliedIndex;
    // What is durable: all entries up to here, and what a save under way will make so.
    private long saved;
    private long saving;
    private long savingUpTo;
    private boolean dirty;
    private TermAndVote savedBallot;
    private TermAndVote savingBallot;
    private long unsavedFrom = Long.MAX_VALUE;
    private Snapshot unsavedSnapshot;
    private Snapshot unrestored;
    private long savedTicket;
    private long tickets;
    private boolean diskWorks = true;
    private final ArrayDeque<Held> held = new ArrayDeque<>();
    // A leader's own.
    private final LinkedHashMap<Long, FollowerProgress> followers = new LinkedHashMap<>();
    private long round;
    private long roundAt;
    private long wordAt;
    private long tellFrom;
    private final ArrayDeque<Read> reads = new ArrayDeque<>();
    private final ArrayDeque<Read> confirmed = new ArrayDeque<>();
    private final ArrayDeque<Long> refusedReads = new ArrayDeque<>();
    private long handTo;
    private long handUntil;
    private boolean handedOver;
    private boolean driftTold;
    // A snapshot that comes in pieces.
    private Message.SnapshotChunk coming;
    private ByteArrayOutputStream came = new ByteArrayOutputStream();

    /**
     * A member as its disk has it: its ballot, its newest snapshot and the entries above the
     * snapshot.
     */
    public RaftNode(
            long id,
            Timing timing,
            SafetyRules rules,
            RandomGenerator chance,
            long now,
            TermAndVote ballot,
            Snapshot snapshot,
            List<Entry> entries) {
        this.id = id;
        this.timing = timing;
        this.rules = rules;
        this.chance = chance;
        this.now = now;
        this.ballot = ballot;
        savedBallot = ballot;
        savingBallot = ballot;
        this.snapshot = snapshot;
        log = new Log(snapshot.index(), snapshot.term());
        configs.put(snapshot.index(), snapshot.membership());
        entries.forEach(this::take);
        commitIndex = snapshot.index();
        appliedIndex = snapshot.index();
        saved = log.lastIndex();
        // It may have promised a lease just before it ended: it waits as one that has heard from a
        // leader.
        heardAt = now;
        rest();
    }

    private void take(Entry entry) {
        log.add(entry);
        if (entry.kind() == Entry.Kind.MEMBERSHIP) {
            configs.put(entry.index(), entry.members());
        }
    }

    /** Waits as one who has just heard of a leader, or that another may become one. */
    private void rest() {
        campaignAt =
                now
                        + timing.electionTimeoutTicks()
                        + chance.nextLong(timing.electionTimeoutTicks() / 2);
    }

    // ---- what is known --------------------------------------------------------------------------

    public long id() {
        return id;
    }

    public long term() {
        return ballot.term();
    }

    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /** The leader that this member knows of, 0 if none. */
    public long leader() {
        return role == Role.LEADER ? id : leader;
    }

    public Membership membership() {
        return configs.lastEntry().getValue();
    }

    public long commitIndex() {
        return commitIndex;
    }

    public long appliedIndex() {
        return appliedIndex;
    }

    public Log log() {
        return log;
    }

    public Snapshot snapshot() {
        return snapshot;
    }

    /**
     * Whether a leader that most hear is in touch: a leader knows by answers, a follower by its
     * words.
     */
    public boolean hasQuorumContact() {
        return role == Role.LEADER
                ? now < contactAt() + timing.electionTimeoutTicks()
                : leader != 0 && now < heardAt + 2 * timing.electionTimeoutTicks();
    }

    public Status status() {
        Map<Long, Long> matches = new TreeMap<>();
        followers.forEach((member, progress) -> matches.put(member, progress.match));
        return new Status(
                role,
                ballot.term(),
                leader(),
                commitIndex,
                appliedIndex,
                saved,
                log.baseIndex() + 1,
                log.lastIndex(),
                membership(),
                matches,
                leaseHolds());
    }

    // ---- inputs ---------------------------------------------------------------------------------

    /** A blank member learns with whom it founds the cluster; its host has saved that. */
    public void bootstrap(Membership members) {
        if (log.lastIndex() == 0 && ballot.equals(TermAndVote.NONE)) {
            snapshot = new Snapshot(0, 0, members, new byte[0]);
            configs.put(0L, members);
        }
    }

    /** Time passes. */
    public void tick(long time) {
        now = Math.max(now, time);
        if (role == Role.LEADER) {
            if (now >= contactAt() + timing.electionTimeoutTicks()) {
                notes.add(
                        "term "
                                + ballot.term()
                                + ": most members are out of reach, no longer leading");
                follow(ballot.term(), 0);
                return;
            }
            if (handTo != 0 && now >= handUntil) {
                notes.add("hand-over to " + name(handTo) + " was not taken up");
                handTo = 0;
            }
            if (now >= wordAt + timing.heartbeatIntervalTicks()) {
                speak();
            }
            abdicate();
            admitJoining();
        } else if (now >= campaignAt && diskWorks && membership().isVoter(id)) {
            campaign(rules.usesPreVote(), false);
        } else if (now >= campaignAt) {
            rest();
        }
    }

    /** Everything up to a save's ticket is durable. */
    public void saved(long ticket) {
        if (ticket != saving) {
            return;
        }
        saving = 0;
        savedTicket = ticket;
        saved = Math.max(saved, Math.min(savingUpTo, log.lastIndex()));
        if (role == Role.LEADER) {
            advance();
        }
    }

    /**
     * Whether the disk takes what it is given. One whose disk does not works on, but neither leads
     * nor campaigns.
     */
    public void diskStatusChanged(boolean works) {
        if (diskWorks != works) {
            notes.add(
                    works
                            ? "disk takes entries again"
                            : "disk takes nothing: no votes, no entries, until it does");
        }
        diskWorks = works;
        abdicate();
    }

    /** A leader that can't save hands over to the voter that has most. */
    private void abdicate() {
        if (role == Role.LEADER && !diskWorks && handTo == 0) {
            followers.values().stream()
                    .filter(other -> membership().isVoter(other.id))
                    .max(Comparator.comparingLong(other -> other.match))
                    .ifPresent(next -> transferLeadership(next.id));
        }
    }

    /** Asks for a change to be agreed; answers its index, or leaves why not in the second place. */
    public long propose(
            Entry.Kind kind, long session, long serial, byte[] body, ProposalRejection[] why) {
        ProposalRejection refusal =
                role != Role.LEADER
                        ? ProposalRejection.NOT_LEADER
                        : handTo != 0
                                ? ProposalRejection.TRANSFERRING_LEADERSHIP
                                : !diskWorks
                                        ? ProposalRejection.DISK_FAILED
                                        : body.length > MAX_CHANGE_BYTES
                                                ? ProposalRejection.TOO_LARGE
                                                : log.lastIndex() - commitIndex >= MOST_OPEN
                                                                || openBytes() > MOST_OPEN_BYTES
                                                        ? ProposalRejection.BUSY
                                                        : null;
        if (refusal != null) {
            why[0] = refusal;
            return 0;
        }
        return add(
                new Entry(log.lastIndex() + 1, ballot.term(), kind, session, serial, body, null));
    }

    /** Bytes that wait to be committed, by their part of the entries that are held. */
    private long openBytes() {
        return log.bytes()
                * (log.lastIndex() - commitIndex)
                / Math.max(1, log.lastIndex() - log.baseIndex());
    }

    /** Adds a member, changes what it does, or removes it. */
    public ProposalRejection changeMembership(Member member, boolean remove) {
        Membership before = membership();
        Membership after = remove ? before.without(member.id()) : before.with(member);
        FollowerProgress progress = followers.get(member.id());
        Member known = before.get(member.id());
        if (role != Role.LEADER) {
            return ProposalRejection.NOT_LEADER;
        } else if (handTo != 0) {
            return ProposalRejection.TRANSFERRING_LEADERSHIP;
        } else if (!rules.mayChangeMembership(
                configs.lastKey(), commitIndex, log.term(commitIndex), ballot.term())) {
            return ProposalRejection.MEMBERSHIP_UNSETTLED;
        } else if (remove && known == null) {
            return ProposalRejection.UNKNOWN_MEMBER;
        } else if (after.voterCount() == 0) {
            return ProposalRejection.LAST_VOTER;
        } else if (after.all().size() > Membership.MAX_MEMBERS) {
            return ProposalRejection.TOO_MANY_MEMBERS;
        } else if (!remove
                && member.role() == Member.Role.VOTER
                && !before.isVoter(member.id())
                && (progress == null || progress.match + CLOSE < commitIndex)) {
            return ProposalRejection.NOT_CAUGHT_UP;
        }
        add(Entry.members(log.lastIndex() + 1, ballot.term(), after));
        return null;
    }

    /** Hands over to another voter: it is brought up to date and then told to campaign. */
    public ProposalRejection transferLeadership(long to) {
        if (role != Role.LEADER) {
            return ProposalRejection.NOT_LEADER;
        } else if (!membership().isVoter(to)) {
            return ProposalRejection.UNKNOWN_MEMBER;
        } else if (to != id) {
            handTo = to;
            handUntil = now + timing.electionTimeoutTicks();
            // From here on another may lead without waiting, however late the word reaches it.
            handedOver = true;
            handOver(followers.get(to));
        }
        return null;
    }

    private void handOver(FollowerProgress progress) {
        if (handTo == progress.id && progress.match == log.lastIndex()) {
            post(new Message.TimeoutNow(id, progress.id, ballot.term()), 0);
        }
    }

    /** Asks for leave to answer a read from what is applied here. */
    public void requestRead(long token) {
        if (role != Role.LEADER || reads.size() + confirmed.size() >= MOST_READS) {
            refusedReads.add(token);
        } else if (leaseHolds()) {
            confirmed.add(new Read(token, 0, commitIndex));
        } else {
            reads.add(new Read(token, round + 1, -1));
        }
    }

    /**
     * What is applied was saved as a snapshot: the entries below it are no longer needed, but for a
     * tail.
     */
    public void snapshotTaken(Snapshot other) {
        if (other.index() > snapshot.index() && other.index() <= appliedIndex) {
            snapshot = other;
            log.compact(Math.max(log.baseIndex(), other.index() - TAIL));
            long kept = configs.floorKey(Math.max(log.baseIndex(), 0));
            configs.headMap(kept, false).clear();
        }
    }

    /** The membership that held at an index that is kept. */
    public Membership membershipAt(long index) {
        return configs.floorEntry(index).getValue();
    }

    /** A message came. */
    public void receive(Message message) {
        if (message.to() != id) {
            return;
        }
        if (message instanceof Message.VoteRequest ask) {
            asked(ask);
        } else if (message.term() < ballot.term()) {
            // A leader of an older term learns of ours, and ends; answers to what is long past mean
            // nothing.
            if (message instanceof Message.AppendRequest
                    || message instanceof Message.SnapshotChunk) {
                post(
                        new Message.AppendResponse(
                                id, message.from(), ballot.term(), false, 0, 0, 0, 0, 0, now),
                        needs());
            }
        } else if (message instanceof Message.VoteResponse vote
                && vote.preVote()
                && vote.granted()) {
            if (role == Role.PRE_CANDIDATE && vote.term() == ballot.term() + 1) {
                counted(vote.from());
            }
        } else {
            if (message.term() > ballot.term()) {
                follow(message.term(), 0);
            }
            if (message instanceof Message.VoteResponse vote) {
                if (role == Role.CANDIDATE && vote.granted() && !vote.preVote()) {
                    counted(vote.from());
                }
            } else if (message instanceof Message.AppendRequest append) {
                heard(append.from());
                appended(append);
            } else if (message instanceof Message.SnapshotChunk piece) {
                heard(piece.from());
                pieced(piece);
            } else if (message instanceof Message.AppendResponse answer) {
                answered(answer);
            } else if (message instanceof Message.SnapshotChunkResponse taken) {
                taken(taken);
            } else if (message instanceof Message.TimeoutNow
                    && diskWorks
                    && membership().isVoter(id)
                    && role != Role.LEADER) {
                campaign(false, true);
            }
        }
    }

    // ---- elections ------------------------------------------------------------------------------

    private void asked(Message.VoteRequest ask) {
        boolean leading = role == Role.LEADER;
        boolean bound =
                !ask.leadershipTransfer()
                        && (leading || rules.honorsCurrentLeader(now, heardAt, timing));
        if (ask.term() > ballot.term() && bound) {
            // Nothing is learned of its term: one that is cut off must not depose who works.
            return;
        }
        boolean fits =
                rules.isLogUpToDate(
                                ask.lastLogIndex(),
                                ask.lastLogTerm(),
                                log.lastIndex(),
                                log.lastTerm())
                        && diskWorks;
        if (ask.preVote()) {
            boolean yes = ask.term() > ballot.term() && fits;
            post(
                    new Message.VoteResponse(
                            id, ask.from(), yes ? ask.term() : ballot.term(), true, yes),
                    needs());
            return;
        }
        if (ask.term() > ballot.term()) {
            follow(ask.term(), 0);
        }
        boolean yes =
                ask.term() == ballot.term()
                        && fits
                        && (role == Role.FOLLOWER || role == Role.PRE_CANDIDATE)
                        && rules.mayVoteFor(ballot, ask.from());
        if (yes) {
            vote(new TermAndVote(ballot.term(), ask.from()));
            role = Role.FOLLOWER;
            rest();
        }
        post(new Message.VoteResponse(id, ask.from(), ballot.term(), false, yes), needs());
    }

    private void vote(TermAndVote other) {
        dirty |= !ballot.equals(other);
        ballot = other;
    }

    private void campaign(boolean trial, boolean forced) {
        role = trial ? Role.PRE_CANDIDATE : Role.CANDIDATE;
        leader = 0;
        given.clear();
        // Who still waits for the old leader refuses a trial, which harms nobody: it is made again
        // soon.
        campaignAt =
                now
                        + timing.electionTimeoutTicks() / (trial ? 5 : 2)
                        + chance.nextLong(timing.electionTimeoutTicks() / (trial ? 5 : 2));
        if (!trial) {
            vote(new TermAndVote(ballot.term() + 1, id));
        }
        long term = trial ? ballot.term() + 1 : ballot.term();
        for (Member member : membership().all()) {
            if (member.id() != id && member.role() == Member.Role.VOTER) {
                post(
                        new Message.VoteRequest(
                                id,
                                member.id(),
                                term,
                                log.lastIndex(),
                                log.lastTerm(),
                                trial,
                                forced),
                        needs());
            }
        }
        // Its own vote counts once it is durable, like any other's.
        post(new Message.VoteResponse(id, id, term, trial, true), needs());
    }

    private void counted(long voter) {
        given.add(voter);
        if (rules.isQuorum(membership(), given::contains)) {
            if (role == Role.PRE_CANDIDATE) {
                campaign(false, false);
            } else {
                lead();
            }
        }
    }

    private void lead() {
        role = Role.LEADER;
        leader = id;
        handTo = 0;
        handedOver = false;
        driftTold = false;
        followers.clear();
        roundAt = now;
        for (Member member : membership().all()) {
            if (member.id() != id) {
                followers.put(
                        member.id(), new FollowerProgress(member.id(), log.lastIndex() + 1, now));
            }
        }
        notes.add(
                "leads in term "
                        + ballot.term()
                        + " with "
                        + log.lastIndex()
                        + " entries, "
                        + commitIndex
                        + " known agreed");
        add(Entry.noOp(log.lastIndex() + 1, ballot.term()));
        if (configs.lastKey() == 0) {
            // Who founded the cluster is told to those that come in with an empty log, like
            // everything else.
            add(Entry.members(log.lastIndex() + 1, ballot.term(), membership()));
        }
        speak();
    }

    private void heard(long from) {
        if (leader != from) {
            notes.add("follows " + name(from) + " in term " + ballot.term());
        }
        role = Role.FOLLOWER;
        leader = from;
        heardAt = now;
        rest();
    }

    private void follow(long term, long from) {
        if (term > ballot.term()) {
            vote(new TermAndVote(term, 0));
        }
        role = Role.FOLLOWER;
        leader = from;
        followers.clear();
        handTo = 0;
        reads.forEach(read -> refusedReads.add(read.token));
        confirmed.forEach(read -> refusedReads.add(read.token));
        reads.clear();
        confirmed.clear();
        rest();
    }

    // ---- the follower's log ---------------------------------------------------------------------

    private void appended(Message.AppendRequest append) {
        List<Entry> entries = append.entries();
        long prev = append.prevLogIndex();
        long prevTerm = append.prevLogTerm();
        int known = 0;
        // What a snapshot stands for is agreed, and so the same.
        while (prev < log.baseIndex() && known < entries.size()) {
            prev = entries.get(known).index();
            prevTerm = entries.get(known).term();
            known++;
        }
        if (prev >= log.baseIndex() && !rules.logsMatch(prevTerm, log.term(prev))) {
            long hint = Math.min(prev - 1, log.lastIndex());
            while (hint > log.baseIndex() && log.term(hint) > prevTerm) {
                hint--;
            }
            post(
                    new Message.AppendResponse(
                            id,
                            append.from(),
                            ballot.term(),
                            false,
                            hint,
                            Math.max(0, log.term(hint)),
                            append.prevLogIndex(),
                            append.round(),
                            append.sentAtTicks(),
                            now),
                    needs());
            return;
        }
        for (Entry entry : entries.subList(known, entries.size())) {
            if (entry.index() <= log.lastIndex()
                    && !rules.entriesMatch(entry.term(), log.term(entry.index()))) {
                cut(entry.index());
            }
            if (entry.index() == log.lastIndex() + 1) {
                take(entry);
                dirty = true;
                unsavedFrom = Math.min(unsavedFrom, entry.index());
            }
        }
        long last = Math.max(prev, entries.isEmpty() ? 0 : entries.get(entries.size() - 1).index());
        commitIndex =
                Math.max(
                        commitIndex,
                        Math.min(append.leaderCommitIndex(), Math.min(last, log.lastIndex())));
        // A disk that is behind does not make the member seem out of reach: what is durable is told
        // at once.
        long ready = rules.persistsBeforeSending() ? Math.min(last, saved) : last;
        post(match(append, ready), dirtyBallot());
        if (ready < last) {
            post(match(append, last), needs());
        }
    }

    private Message match(Message.AppendRequest append, long match) {
        return new Message.AppendResponse(
                id,
                append.from(),
                ballot.term(),
                true,
                match,
                0,
                0,
                append.round(),
                append.sentAtTicks(),
                now);
    }

    private void cut(long from) {
        log.truncateFrom(from);
        configs.tailMap(from, true).clear();
        saved = Math.min(saved, from - 1);
        savingUpTo = Math.min(savingUpTo, from - 1);
        unsavedFrom = Math.min(unsavedFrom, from);
        dirty = true;
    }

    private void pieced(Message.SnapshotChunk piece) {
        if (piece.snapshotIndex() <= log.lastIndex()
                        && log.term(piece.snapshotIndex()) == piece.snapshotTerm()
                || piece.snapshotIndex() <= commitIndex) {
            commitIndex = Math.max(commitIndex, Math.min(piece.snapshotIndex(), log.lastIndex()));
            post(taken(piece, piece.totalBytes()), needs());
            post(
                    new Message.AppendResponse(
                            id,
                            piece.from(),
                            ballot.term(),
                            true,
                            Math.min(piece.snapshotIndex(), saved),
                            0,
                            0,
                            piece.round(),
                            piece.sentAtTicks(),
                            now),
                    needs());
            return;
        }
        if (piece.totalBytes() > MAX_SNAPSHOT_BYTES) {
            notes.add("a snapshot of " + piece.totalBytes() + " bytes is too large, left");
            return;
        }
        if (coming == null
                || coming.snapshotIndex() != piece.snapshotIndex()
                || coming.snapshotTerm() != piece.snapshotTerm()
                || coming.checksum() != piece.checksum()
                || coming.totalBytes() != piece.totalBytes()) {
            coming = piece;
            came = new ByteArrayOutputStream();
        }
        if (piece.offset() == came.size()
                && came.size() + piece.bytes().length <= piece.totalBytes()) {
            came.writeBytes(piece.bytes());
        }
        if (came.size() < piece.totalBytes()) {
            post(taken(piece, came.size()), 0);
            return;
        }
        byte[] data = came.toByteArray();
        coming = null;
        came = new ByteArrayOutputStream();
        if (Checksum.of(data) != piece.checksum()) {
            notes.add(
                    "snapshot of entry "
                            + piece.snapshotIndex()
                            + " came corrupt from "
                            + name(piece.from())
                            + ", asked anew");
            post(taken(piece, 0), 0);
            return;
        }
        install(
                new Snapshot(
                        piece.snapshotIndex(), piece.snapshotTerm(), piece.membership(), data));
        notes.add(
                "snapshot of entry " + piece.snapshotIndex() + " taken from " + name(piece.from()));
        post(taken(piece, piece.totalBytes()), needs());
        post(
                new Message.AppendResponse(
                        id,
                        piece.from(),
                        ballot.term(),
                        true,
                        piece.snapshotIndex(),
                        0,
                        0,
                        piece.round(),
                        piece.sentAtTicks(),
                        now),
                needs());
    }

    private Message taken(Message.SnapshotChunk piece, int offset) {
        return new Message.SnapshotChunkResponse(
                id,
                piece.from(),
                ballot.term(),
                piece.snapshotIndex(),
                offset,
                piece.round(),
                piece.sentAtTicks(),
                now);
    }

    private void install(Snapshot other) {
        snapshot = other;
        log.reset(other.index(), other.term());
        configs.clear();
        configs.put(other.index(), other.membership());
        commitIndex = other.index();
        saved = 0;
        savingUpTo = 0;
        unsavedFrom = Long.MAX_VALUE;
        unsavedSnapshot = other;
        dirty = true;
    }

    // ---- the leader -----------------------------------------------------------------------------

    private long add(Entry entry) {
        take(entry);
        dirty = true;
        unsavedFrom = Math.min(unsavedFrom, entry.index());
        for (Member member : membership().all()) {
            if (member.id() != id) {
                followers.computeIfAbsent(
                        member.id(), key -> new FollowerProgress(key, log.lastIndex(), now));
            }
        }
        return entry.index();
    }

    /** Begins a round: a word to every follower, with entries where there are some to send. */
    private void speak() {
        round++;
        roundAt = now;
        wordAt = now;
        tellFrom = commitIndex + 1;
        for (FollowerProgress progress : followers.values()) {
            progress.probing = false;
            if (!send(progress)) {
                word(progress);
            }
        }
        confirm();
    }

    /** Sends what a follower lacks, as far as its flight allows; false if that was nothing. */
    private boolean send(FollowerProgress progress) {
        boolean any = false;
        if (progress.way == FollowerProgress.Way.SNAPSHOT) {
            return now >= progress.pieceAt + timing.heartbeatIntervalTicks() && piece(progress);
        }
        while (progress.way == FollowerProgress.Way.REPLICATE
                ? progress.next <= log.lastIndex() && progress.flight.size() < FLIGHT
                : !progress.probing) {
            if (progress.next <= log.baseIndex()) {
                progress.snapshot(snapshot, Checksum.of(snapshot.data()));
                return piece(progress);
            }
            List<Entry> entries =
                    progress.next > log.lastIndex()
                            ? List.of()
                            : log.entriesFrom(progress.next, timing.maxBatchEntries(), MOST_BYTES);
            append(progress, entries);
            any = true;
            if (progress.way == FollowerProgress.Way.PROBE) {
                progress.probing = true;
            } else {
                progress.next += entries.size();
                progress.flight.add(progress.next - 1);
            }
        }
        return any;
    }

    private void append(FollowerProgress progress, List<Entry> entries) {
        post(
                new Message.AppendRequest(
                        id,
                        progress.id,
                        ballot.term(),
                        progress.next - 1,
                        log.term(progress.next - 1),
                        commitIndex,
                        round,
                        roundAt,
                        entries),
                0);
    }

    /** A word without entries: it shows a follower that it lacks some, where a message was lost. */
    private void word(FollowerProgress progress) {
        if (progress.way == FollowerProgress.Way.SNAPSHOT) {
            post(
                    new Message.AppendRequest(
                            id, progress.id, ballot.term(), 0, 0, 0, round, roundAt, List.of()),
                    0);
        } else {
            append(progress, List.of());
        }
    }

    private boolean piece(FollowerProgress progress) {
        Snapshot sent = progress.sending;
        int end = Math.min(sent.data().length, progress.offset + PIECE);
        progress.pieceAt = now;
        post(
                new Message.SnapshotChunk(
                        id,
                        progress.id,
                        ballot.term(),
                        sent.index(),
                        sent.term(),
                        sent.membership(),
                        sent.data().length,
                        progress.checksum,
                        progress.offset,
                        Arrays.copyOfRange(sent.data(), progress.offset, end),
                        round,
                        roundAt),
                0);
        return true;
    }

    private void answered(Message.AppendResponse answer) {
        FollowerProgress progress = followers.get(answer.from());
        if (role != Role.LEADER || progress == null) {
            return;
        }
        hear(progress, answer.round(), answer.sentAtTicks(), answer.followerClockTicks());
        if (!answer.success()) {
            boolean stale =
                    answer.rejectedIndex() <= progress.match
                            || progress.way == FollowerProgress.Way.PROBE
                                    && answer.rejectedIndex() != progress.next - 1;
            if (!stale && progress.way != FollowerProgress.Way.SNAPSHOT) {
                long hint = Math.min(answer.matchIndex(), log.lastIndex());
                while (hint > log.baseIndex() && log.term(hint) > answer.conflictTerm()) {
                    hint--;
                }
                progress.probe(hint + 1);
            }
        } else {
            progress.match = Math.max(progress.match, answer.matchIndex());
            while (!progress.flight.isEmpty() && progress.flight.getFirst() <= progress.match) {
                progress.flight.removeFirst();
            }
            boolean met =
                    progress.way == FollowerProgress.Way.PROBE
                            && answer.matchIndex() >= progress.next - 1;
            boolean installed =
                    progress.way == FollowerProgress.Way.SNAPSHOT
                            && progress.match >= progress.sending.index();
            if (met || installed) {
                progress.replicate();
            }
            advance();
            if (handTo == progress.id) {
                handOver(progress);
            }
        }
        if (role == Role.LEADER) {
            send(progress);
        }
    }

    private void taken(Message.SnapshotChunkResponse taken) {
        FollowerProgress progress = followers.get(taken.from());
        if (role != Role.LEADER || progress == null) {
            return;
        }
        hear(progress, taken.round(), taken.sentAtTicks(), taken.followerClockTicks());
        if (progress.way == FollowerProgress.Way.SNAPSHOT
                && taken.snapshotIndex() == progress.sending.index()) {
            boolean moved = taken.receivedBytes() != progress.offset;
            progress.offset = Math.min(taken.receivedBytes(), progress.sending.data().length);
            if (moved && progress.offset < progress.sending.data().length) {
                piece(progress);
            }
        }
    }

    private void hear(FollowerProgress progress, long answeredRound, long sentAt, long clock) {
        progress.answered(now, answeredRound, sentAt, clock);
        if (progress.clock.driftRatio() > timing.maxClockDriftRatio() && !driftTold) {
            driftTold = true;
            notes.add(
                    "the clock of "
                            + name(progress.id)
                            + " runs apart by more than allowed: reads without leases");
        }
        confirm();
    }

    /** Lets reads go whose round most have answered. */
    private void confirm() {
        long of =
                membership()
                        .valueReachedBy(
                                rules.quorumSize(membership()),
                                member ->
                                        member == id
                                                ? round
                                                : followers.containsKey(member)
                                                        ? followers.get(member).round
                                                        : 0);
        while (!reads.isEmpty()
                && rules.isReadConfirmed(of, reads.getFirst().round)
                && rules.knowsCommitIndex(log.term(commitIndex), ballot.term())) {
            confirmed.add(new Read(reads.removeFirst().token, 0, commitIndex));
        }
    }

    /** When most of the voters, this one with them, were last heard from. */
    private long contactAt() {
        return membership()
                .valueReachedBy(
                        rules.quorumSize(membership()),
                        member ->
                                member == id
                                        ? now
                                        : followers.containsKey(member)
                                                ? followers.get(member).heardAt
                                                : Long.MIN_VALUE / 2);
    }

    private boolean leaseHolds() {
        if (role != Role.LEADER
                || !timing.leaseReads()
                || driftTold
                || !rules.mayHoldLease(handedOver)
                || !rules.knowsCommitIndex(log.term(commitIndex), ballot.term())) {
            return false;
        }
        long sentAt =
                membership()
                        .valueReachedBy(
                                rules.quorumSize(membership()),
                                member ->
                                        member == id
                                                ? now
                                                : followers.containsKey(member)
                                                        ? followers.get(member).sentAt
                                                        : Long.MIN_VALUE / 2);
        return now < rules.leaseExpiry(sentAt, timing);
    }

    private void advance() {
        long reached =
                membership()
                        .valueReachedBy(
                                rules.quorumSize(membership()),
                                member ->
                                        member == id
                                                ? saved
                                                : followers.containsKey(member)
                                                        ? followers.get(member).match
                                                        : 0);
        reached = Math.min(reached, log.lastIndex());
        if (reached > commitIndex && rules.mayCommitByCounting(log.term(reached), ballot.term())) {
            commitIndex = reached;
            if (configs.lastKey() <= commitIndex) {
                retire();
            }
        }
    }

    /** Members that were removed hear of it once, and a leader that was removed ends. */
    private void retire() {
        List<Long> removed = new ArrayList<>(followers.keySet());
        removed.removeIf(member -> membership().get(member) != null);
        for (long member : removed) {
            word(followers.remove(member));
        }
        if (!membership().isVoter(id)) {
            speak();
            notes.add("no longer a voting member, no longer leading");
            follow(ballot.term(), 0);
        }
    }

    private void admitJoining() {
        for (Member member : List.copyOf(membership().all())) {
            FollowerProgress progress = followers.get(member.id());
            if (member.role() == Member.Role.JOINING
                    && progress != null
                    && progress.match + CLOSE >= commitIndex
                    && progress.way == FollowerProgress.Way.REPLICATE
                    && changeMembership(member.as(Member.Role.VOTER), false) == null) {
                notes.add(member.name() + " has caught up and votes");
                return;
            }
        }
    }

    // ---- decisions ------------------------------------------------------------------------------

    /**
     * What a message that is made now must wait for, to be a promise that a crash does not break.
     */
    private long needs() {
        return !rules.persistsBeforeSending() ? 0 : dirty ? tickets + 1 : saving;
    }

    /**
     * The same for what rests on the ballot alone, which a save of entries alone need not hold up.
     */
    private long dirtyBallot() {
        return !rules.persistsBeforeSending() || ballot.equals(savedBallot) ? 0 : needs();
    }

    private void post(Message message, long ticket) {
        held.add(new Held(ticket, message));
    }

    /** Takes one decision, if there is one to take now. */
    public boolean poll(RaftOutput effects) {
        if (savedTicket >= tickets) {
            savedBallot = savingBallot;
        }
        if (!notes.isEmpty()) {
            effects.log(notes.remove());
        } else if (role == Role.LEADER
                && (!reads.isEmpty() && reads.getLast().round > round
                        || tellFrom <= commitIndex && commitIndex == log.lastIndex())) {
            // Followers hear at once of what was agreed, where nothing is on the way that would
            // tell them
            // later.
            speak();
        } else if (role == Role.LEADER && sendAll()) {
            return true;
        } else if (release(effects)) {
            return true;
        } else if (dirty && saving == 0) {
            save(effects);
        } else if (unrestored != null && saving == 0 && !dirty) {
            effects.restore(unrestored);
            appliedIndex = unrestored.index();
            unrestored = null;
        } else if (unrestored == null
                && unsavedSnapshot == null
                && appliedIndex < Math.min(commitIndex, saved)) {
            appliedIndex++;
            effects.apply(log.get(appliedIndex));
        } else if (!refusedReads.isEmpty()) {
            effects.readRejected(refusedReads.removeFirst());
        } else if (!confirmed.isEmpty() && appliedIndex >= confirmed.getFirst().index) {
            effects.readReady(confirmed.removeFirst().token);
        } else {
            return false;
        }
        return true;
    }

    private boolean sendAll() {
        boolean any = false;
        for (FollowerProgress progress : followers.values()) {
            any |= progress.way != FollowerProgress.Way.SNAPSHOT && send(progress);
        }
        return any;
    }

    private boolean release(RaftOutput effects) {
        int count = held.size();
        boolean any = false;
        for (int i = 0; i < count; i++) {
            Held first = held.removeFirst();
            if (first.ticket > savedTicket) {
                held.addLast(first);
            } else {
                any = true;
                if (first.message.to() == id) {
                    receive(first.message);
                } else {
                    effects.send(first.message);
                }
            }
        }
        return any;
    }

    private void save(RaftOutput effects) {
        saving = ++tickets;
        savingUpTo = log.lastIndex();
        savingBallot = ballot;
        dirty = false;
        Snapshot install = unsavedSnapshot;
        unsavedSnapshot = null;
        unrestored = install == null ? unrestored : install;
        long from = unsavedFrom;
        unsavedFrom = Long.MAX_VALUE;
        List<Entry> entries =
                from > log.lastIndex()
                        ? List.of()
                        : log.entriesFrom(from, Integer.MAX_VALUE, Long.MAX_VALUE);
        effects.persist(saving, ballot, from == Long.MAX_VALUE ? 0 : from, entries, install);
    }

    private String name(long member) {
        Member known = membership().get(member);
        return known == null ? "member " + Long.toHexString(member) : known.name();
    }

    /**
     * Everything that a next step could depend on, but for times: equal words mean equal states.
     */
    public String fingerprint() {
        StringBuilder text =
                new StringBuilder()
                        .append(role)
                        .append(ballot)
                        .append(leader)
                        .append('|')
                        .append(commitIndex)
                        .append(',')
                        .append(appliedIndex)
                        .append(',')
                        .append(saved)
                        .append(',')
                        .append(saving)
                        .append(dirty)
                        .append(given)
                        .append(held)
                        .append(membership());
        for (long i = log.baseIndex(); i <= log.lastIndex(); i++) {
            text.append(' ').append(log.term(i));
        }
        followers
                .values()
                .forEach(
                        p ->
                                text.append(p.id)
                                        .append(p.way)
                                        .append(p.match)
                                        .append(',')
                                        .append(p.next)
                                        .append(p.flight)
                                        .append(p.probing));
        return text.toString();
    }
}
