package rockshift.raft;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How a leader sends to one follower, in the modes probe, replicate and snapshot. */
class FollowerProgressTest {
    private static final int MAX_INFLIGHT_MESSAGES = 32;

    private final FollowerProgress follower = new FollowerProgress(2, 10, 0);

    private static List<Entry> entries(int count) {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(Entry.noOp(i + 1, 1));
        }
        return entries;
    }

    @Test
    void probeIsSentOncePerRound() {
        assertThat(follower.canSendEntries(20)).isTrue();
        follower.recordSent(entries(3));
        assertThat(follower.canSendEntries(20)).isFalse();
        assertThat(follower.nextIndex()).as("next index after an unanswered probe").isEqualTo(10);
        follower.allowProbe();
        assertThat(follower.canSendEntries(20)).isTrue();
    }

    @Test
    void matchAtTheProbeStartsReplication() {
        follower.recordMatch(9);
        assertThat(follower.mode()).isEqualTo(FollowerProgress.Mode.REPLICATE);
        assertThat(follower.matchIndex()).isEqualTo(9);
        assertThat(follower.nextIndex()).isEqualTo(10);
    }

    /** A follower does not respond: the number of messages sent to it must be bounded. */
    @Test
    void messagesInFlightAreLimitedUntilTheyAreAcknowledged() {
        follower.recordMatch(9);
        for (int i = 0; i < MAX_INFLIGHT_MESSAGES; i++) {
            assertThat(follower.canSendEntries(1_000)).isTrue();
            follower.recordSent(entries(1));
        }
        assertThat(follower.canSendEntries(1_000)).isFalse();
        follower.recordMatch(10);
        assertThat(follower.canSendEntries(1_000)).isTrue();
    }

    /**
     * Rejections arrive late and twice: they must not move the leader back below the matching
     * index.
     */
    @Test
    void delayedRejectionsAreIgnored() {
        assertThat(follower.isRelevantRejection(8)).as("rejection of another probe").isFalse();
        assertThat(follower.isRelevantRejection(9)).as("rejection of the current probe").isTrue();
        follower.recordMatch(9);
        assertThat(follower.isRelevantRejection(9))
                .as("rejection of an index that has matched since")
                .isFalse();
        assertThat(follower.isRelevantRejection(10)).isTrue();
        follower.startProbe(3);
        assertThat(follower.nextIndex())
                .as("next index when probing below the match index")
                .isEqualTo(10);
    }

    @Test
    void snapshotModeEndsWhenTheSnapshotIndexMatches() {
        Snapshot snapshot = new Snapshot(30, 1, new Membership(List.of()), new byte[10]);
        follower.startSnapshot(snapshot);
        follower.recordMatch(29);
        assertThat(follower.mode()).isEqualTo(FollowerProgress.Mode.SNAPSHOT);
        follower.recordMatch(30);
        assertThat(follower.mode()).isEqualTo(FollowerProgress.Mode.REPLICATE);
        assertThat(follower.nextIndex()).isEqualTo(31);
        assertThat(follower.snapshotSender()).isNull();
    }
}
