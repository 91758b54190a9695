package rockshift.raft;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which writes a message must wait for, and what becomes durable with a write. */
class DurabilityTrackerTest {
    private final DurabilityTracker durability =
            new DurabilityTracker(new SafetyRules(), new TermAndVote(1, 0), 0);
    private final Log log = new Log(0, 0);
    private final TestCluster.TestMember output = memberWithStalledDisk();

    private static TestCluster.TestMember memberWithStalledDisk() {
        TestCluster.TestMember member = new TestCluster(1).member(1);
        member.diskStalled = true;
        return member;
    }

    private void append(long index) {
        log.add(new Entry(index, 1, Entry.Kind.NO_OP, 0, 0, new byte[0], null));
        durability.entriesAppended(index);
    }

    @Test
    void messageNeedsNoWriteWithoutUnwrittenState() {
        assertThat(durability.requiredWriteNumber()).isZero();
        assertThat(durability.canStartWrite()).isFalse();
    }

    /**
     * A vote is granted while entries are being written: it must wait for the next write, which
     * contains it.
     */
    @Test
    void voteGrantedDuringAWriteWaitsForTheNextWrite() {
        append(1);
        durability.startWrite(log, output);
        assertThat(durability.requiredWriteNumber()).isEqualTo(1);
        durability.setTermAndVote(new TermAndVote(2, 1));
        assertThat(durability.requiredWriteNumber()).isEqualTo(2);
        assertThat(durability.canStartWrite())
                .as("second write while one is in progress")
                .isFalse();
        assertThat(durability.writeCompleted(1, 1)).isTrue();
        assertThat(durability.canStartWrite()).isTrue();
    }

    /**
     * A slow disk must not delay messages that depend only on the term and vote, or the leader
     * would lose contact with its quorum.
     */
    @Test
    void messageThatDependsOnTheTermDoesNotWaitForEntries() {
        append(1);
        assertThat(durability.requiredWriteNumber()).isEqualTo(1);
        assertThat(durability.requiredWriteNumberForTerm()).isZero();
    }

    /**
     * Entries are truncated while they are being written: those that replace them are not durable
     * with this write.
     */
    @Test
    void truncatedEntriesAreNotCountedAsDurable() {
        append(1);
        append(2);
        durability.startWrite(log, output);
        log.truncateFrom(2);
        durability.entriesTruncated(2);
        append(2);
        assertThat(durability.writeCompleted(1, log.lastIndex())).isTrue();
        assertThat(durability.durableIndex()).isEqualTo(1);
    }

    @Test
    void completionOfAnotherWriteIsIgnored() {
        append(1);
        durability.startWrite(log, output);
        assertThat(durability.writeCompleted(9, 1)).isFalse();
        assertThat(durability.durableIndex()).isZero();
    }

    @Test
    void installedSnapshotIsRestoredOnlyOnceItIsWritten() {
        Snapshot snapshot =
                new Snapshot(5, 1, new TestCluster(1).member(1).node.membership(), null);
        durability.snapshotInstalled(snapshot);
        assertThat(durability.canRestoreSnapshot()).isFalse();
        durability.startWrite(new Log(5, 1), output);
        assertThat(durability.canRestoreSnapshot()).isFalse();
        assertThat(durability.writeCompleted(1, 5)).isTrue();
        assertThat(durability.canRestoreSnapshot()).isTrue();
        assertThat(durability.takeSnapshotToRestore()).isSameAs(snapshot);
        assertThat(durability.hasSnapshotToRestore()).isFalse();
    }
}
