package rockshift.raft;

import java.util.List;

/**
 * Replication on a follower: makes its log match the leader's, and acknowledges the index up to
 * which the two match.
 */
final class AppendReceiver {
    private final SafetyRules rules;
    private final ReplicatedLog log;
    private final CommitTracker commits;
    private final DurabilityTracker durability;
    private final Outbox outbox;

    AppendReceiver(
            SafetyRules rules,
            ReplicatedLog log,
            CommitTracker commits,
            DurabilityTracker durability,
            Outbox outbox) {
        this.rules = rules;
        this.log = log;
        this.commits = commits;
        this.durability = durability;
        this.outbox = outbox;
    }

    /** Handles entries from the leader of the current term. */
    void receive(Message.AppendRequest request, long nowTicks) {
        List<Entry> entries = request.entries();
        long previousIndex = request.prevLogIndex();
        long previousTerm = request.prevLogTerm();
        int skipped = 0;
        // Entries up to the base index are committed, so they are identical on the leader: skip
        // them.
        while (previousIndex < log.baseIndex() && skipped < entries.size()) {
            previousIndex = entries.get(skipped).index();
            previousTerm = entries.get(skipped).term();
            skipped++;
        }
        boolean inLog = previousIndex >= log.baseIndex();
        if (inLog && !rules.logsMatch(previousTerm, log.term(previousIndex))) {
            reject(request, previousIndex, previousTerm, nowTicks);
            return;
        }
        appendMissing(entries.subList(skipped, entries.size()));
        long lastSent = entries.isEmpty() ? 0 : entries.get(entries.size() - 1).index();
        long matchIndex = Math.max(previousIndex, lastSent);
        commits.advanceTo(
                Math.min(request.leaderCommitIndex(), Math.min(matchIndex, log.lastIndex())));
        acknowledge(request, matchIndex, nowTicks);
    }

    private void reject(
            Message.AppendRequest request, long previousIndex, long previousTerm, long nowTicks) {
        long conflictIndex =
                log.lastIndexWithinTerm(Math.min(previousIndex - 1, log.lastIndex()), previousTerm);
        outbox.sendWhenDurable(
                new Message.AppendResponse(
                        request.to(),
                        request.from(),
                        durability.term(),
                        false,
                        conflictIndex,
                        Math.max(0, log.term(conflictIndex)),
                        request.prevLogIndex(),
                        request.round(),
                        request.sentAtTicks(),
                        nowTicks));
    }

    private void appendMissing(List<Entry> entries) {
        for (Entry entry : entries) {
            if (entry.index() <= log.lastIndex()
                    && !rules.entriesMatch(entry.term(), log.term(entry.index()))) {
                log.truncateFrom(entry.index());
            }
            if (entry.index() == log.lastIndex() + 1) {
                log.append(entry);
            }
        }
    }

    /**
     * Acknowledges durable entries at once, and the rest when they are durable, so that a slow disk
     * does not make this member seem unreachable to the leader.
     */
    private void acknowledge(Message.AppendRequest request, long matchIndex, long nowTicks) {
        long durableMatch =
                rules.persistsBeforeSending()
                        ? Math.min(matchIndex, durability.durableIndex())
                        : matchIndex;
        outbox.sendWhenTermDurable(
                Message.AppendResponse.matched(request, durability.term(), durableMatch, nowTicks));
        if (durableMatch < matchIndex) {
            outbox.sendWhenDurable(
                    Message.AppendResponse.matched(
                            request, durability.term(), matchIndex, nowTicks));
        }
    }
}
