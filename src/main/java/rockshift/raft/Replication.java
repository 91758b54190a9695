package rockshift.raft;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * Replication on the leader: the progress of each follower, the messages sent to it, and the
 * heartbeat rounds by which the leader confirms that it still leads. A follower detects lost
 * messages at the next heartbeat, as each one names the entry before it.
 */
final class Replication {
    /**
     * Maximum size of the entries in one message: a fraction of the largest frame, and cheap to
     * resend.
     */
    private static final int MAX_MESSAGE_BYTES = 128 << 10;

    private final long id;
    private final Timing timing;
    private final SafetyRules rules;
    private final ReplicatedLog log;
    private final CommitTracker commits;
    private final DurabilityTracker durability;
    private final Outbox outbox;

    /** By id, in the order in which they were added. Messages are sent in this order. */
    private final Map<Long, FollowerProgress> followers = new LinkedHashMap<>();

    /**
     * The number of the last heartbeat round. Increases with each round and is never reset, not
     * even in a new term.
     */
    private long heartbeatRound;

    private long roundStartTicks;

    /** The lowest commit index that has not been announced to the followers. */
    private long firstUnannouncedCommit;

    Replication(
            long id,
            Timing timing,
            SafetyRules rules,
            ReplicatedLog log,
            CommitTracker commits,
            DurabilityTracker durability,
            Outbox outbox) {
        this.id = id;
        this.timing = timing;
        this.rules = rules;
        this.log = log;
        this.commits = commits;
        this.durability = durability;
        this.outbox = outbox;
    }

    /** Begins to replicate as leader. Nothing is known about the followers' logs yet. */
    void start(long nowTicks) {
        followers.clear();
        trackMembers(log.lastIndex() + 1, nowTicks);
    }

    /** Ends replication, as this member is no longer the leader. */
    void stop() {
        followers.clear();
    }

    /** Begins to replicate to members that are not followers yet, starting at an index. */
    void trackMembers(long nextIndex, long nowTicks) {
        for (Member member : log.membership().all()) {
            if (member.id() != id) {
                followers.computeIfAbsent(
                        member.id(), key -> new FollowerProgress(key, nextIndex, nowTicks));
            }
        }
    }

    /**
     * Announces the commit of their removal to removed members, in one heartbeat each, and sends
     * them nothing more.
     */
    void dropRemovedMembers() {
        List<Long> removed = new ArrayList<>(followers.keySet());
        removed.removeIf(member -> log.membership().get(member) != null);
        for (long member : removed) {
            sendHeartbeat(followers.remove(member));
        }
    }

    /** Returns the follower with the given id, or null if there is none. */
    FollowerProgress follower(long member) {
        return followers.get(member);
    }

    Collection<FollowerProgress> followers() {
        return followers.values();
    }

    Map<Long, Long> matchIndexes() {
        Map<Long, Long> matchIndexes = new TreeMap<>();
        followers.forEach((member, follower) -> matchIndexes.put(member, follower.matchIndex()));
        return matchIndexes;
    }

    /**
     * Returns the highest value that a quorum of voters has reached.
     *
     * @param own the leader's own value
     * @param value a follower's value
     * @param absent the value of a voter that is not replicated to
     */
    long quorumValue(long own, ToLongFunction<FollowerProgress> value, long absent) {
        Membership members = log.membership();
        return members.valueReachedBy(
                rules.quorumSize(members),
                member -> {
                    FollowerProgress follower = followers.get(member);
                    if (member == id) {
                        return own;
                    }
                    return follower == null ? absent : value.applyAsLong(follower);
                });
    }

    long heartbeatRound() {
        return heartbeatRound;
    }

    boolean isHeartbeatDue(long nowTicks) {
        return nowTicks >= roundStartTicks + timing.heartbeatIntervalTicks();
    }

    /**
     * Returns whether followers should be sent the commit index at once, as no later message will
     * carry it.
     */
    boolean hasCommitToAnnounce() {
        return firstUnannouncedCommit <= commits.commitIndex()
                && commits.commitIndex() == log.lastIndex();
    }

    /**
     * Starts a heartbeat round: sends each follower entries, or a heartbeat if there are none to
     * send.
     */
    void startRound(long nowTicks) {
        heartbeatRound++;
        roundStartTicks = nowTicks;
        firstUnannouncedCommit = commits.commitIndex() + 1;
        for (FollowerProgress follower : followers.values()) {
            follower.allowProbe();
            if (!send(follower, nowTicks)) {
                sendHeartbeat(follower);
            }
        }
    }

    /**
     * Sends each follower the entries that it lacks.
     *
     * @return whether there was anything to send
     */
    boolean sendEntries(long nowTicks) {
        boolean sent = false;
        for (FollowerProgress follower : followers.values()) {
            sent |= follower.mode() != FollowerProgress.Mode.SNAPSHOT && send(follower, nowTicks);
        }
        return sent;
    }

    /**
     * Sends a follower the entries or the snapshot chunk that it lacks, as far as flow control
     * allows.
     *
     * @return whether anything was sent
     */
    boolean send(FollowerProgress follower, long nowTicks) {
        if (follower.mode() == FollowerProgress.Mode.SNAPSHOT) {
            boolean due =
                    follower.snapshotSender()
                            .isResendDue(nowTicks, timing.heartbeatIntervalTicks());
            if (due) {
                sendChunk(follower, nowTicks);
            }
            return due;
        }
        boolean sent = false;
        while (follower.canSendEntries(log.lastIndex())) {
            if (follower.nextIndex() <= log.baseIndex()) {
                follower.startSnapshot(log.snapshot());
                sendChunk(follower, nowTicks);
                return true;
            }
            List<Entry> entries = entriesFrom(follower.nextIndex());
            sendAppend(follower, entries);
            follower.recordSent(entries);
            sent = true;
        }
        return sent;
    }

    private List<Entry> entriesFrom(long index) {
        return index > log.lastIndex()
                ? List.of()
                : log.entries().entriesFrom(index, timing.maxBatchEntries(), MAX_MESSAGE_BYTES);
    }

    private void sendAppend(FollowerProgress follower, List<Entry> entries) {
        long previousIndex = follower.nextIndex() - 1;
        outbox.send(
                new Message.AppendRequest(
                        id,
                        follower.id(),
                        durability.term(),
                        previousIndex,
                        log.term(previousIndex),
                        commits.commitIndex(),
                        heartbeatRound,
                        roundStartTicks,
                        entries));
    }

    /**
     * Sends a request without entries, by which a follower detects that it lacks entries because a
     * message was lost.
     */
    private void sendHeartbeat(FollowerProgress follower) {
        if (follower.mode() == FollowerProgress.Mode.SNAPSHOT) {
            // The follower has no entry that could be given as the previous one.
            outbox.send(
                    new Message.AppendRequest(
                            id,
                            follower.id(),
                            durability.term(),
                            0,
                            0,
                            0,
                            heartbeatRound,
                            roundStartTicks,
                            List.of()));
        } else {
            sendAppend(follower, List.of());
        }
    }

    private void sendChunk(FollowerProgress follower, long nowTicks) {
        outbox.send(
                follower.snapshotSender()
                        .nextChunk(
                                id,
                                follower.id(),
                                durability.term(),
                                heartbeatRound,
                                roundStartTicks,
                                nowTicks));
    }

    /**
     * Handles a follower's log that differs from the leader's: probes for the last index where they
     * match.
     */
    void handleRejection(FollowerProgress follower, Message.AppendResponse response) {
        if (follower.isRelevantRejection(response.rejectedIndex())) {
            long lastPossibleMatch =
                    log.lastIndexWithinTerm(
                            Math.min(response.matchIndex(), log.lastIndex()),
                            response.conflictTerm());
            follower.startProbe(lastPossibleMatch + 1);
        }
    }

    /** Handles the receipt of a part of a snapshot: sends the next chunk. */
    void handleChunkResponse(
            FollowerProgress follower, Message.SnapshotChunkResponse response, long nowTicks) {
        SnapshotSender sender = follower.snapshotSender();
        if (sender != null
                && response.snapshotIndex() == sender.snapshotIndex()
                && sender.recordReceived(response.receivedBytes())) {
            sendChunk(follower, nowTicks);
        }
    }

    /** Returns this object's part of {@link RaftNode#fingerprint}. */
    String fingerprint() {
        StringBuilder text = new StringBuilder();
        followers.values().forEach(follower -> text.append(follower.fingerprint()));
        return text.toString();
    }
}
