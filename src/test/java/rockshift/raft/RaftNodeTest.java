package rockshift.raft;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Failure scenarios of the protocol, each with three or more members in one process. */
class RaftNodeTest {
    private static final byte[] CHANGE = {1};

    private static Message corrupted(Message.SnapshotChunk chunk) {
        byte[] bytes = chunk.bytes().clone();
        bytes[7] ^= 1;
        return new Message.SnapshotChunk(
                chunk.from(),
                chunk.to(),
                chunk.term(),
                chunk.snapshotIndex(),
                chunk.snapshotTerm(),
                chunk.membership(),
                chunk.totalBytes(),
                chunk.checksum(),
                chunk.offset(),
                bytes,
                chunk.round(),
                chunk.sentAtTicks());
    }

    @Test
    void changesAreAppliedOnAllMembersInTheSameOrder() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        leader.propose("a");
        leader.propose("b");
        cluster.advanceTime(1_000);
        assertThat(cluster.members.values())
                .allSatisfy(
                        member -> assertThat(member.appliedChanges()).containsExactly("a", "b"));
    }

    /**
     * A voter crashes right after it has answered a vote request. If it answered before the vote
     * was durable, it could vote again in the same term, and two members could lead.
     */
    @Test
    void voteIsSentOnlyOnceDurableAndSurvivesACrash() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember voter = cluster.member(1);
        cluster.nowTicks += 10_000;
        voter.node.tick(cluster.nowTicks - 5_000);
        voter.node.tick(cluster.nowTicks);
        voter.pollAll();
        cluster.inFlight.clear();
        voter.diskStalled = true;
        voter.node.receive(new Message.VoteRequest(2, 1, 5, 0, 0, false, true));
        voter.pollAll();
        assertThat(cluster.inFlight)
                .as("vote responses before the vote is durable")
                .noneMatch(message -> message instanceof Message.VoteResponse);
        voter.diskStalled = false;
        voter.termAndVote = new TermAndVote(5, 2);
        voter.node.writeCompleted(voter.stalledWriteNumber);
        voter.pollAll();
        assertThat(cluster.inFlight).contains(new Message.VoteResponse(1, 2, 5, false, true));
        voter.restart();
        cluster.inFlight.clear();
        voter.node.receive(new Message.VoteRequest(3, 1, 5, 9, 4, false, true));
        voter.pollAll();
        assertThat(cluster.inFlight)
                .containsExactly(new Message.VoteResponse(1, 3, 5, false, false));
    }

    /**
     * A leader is cut off while a change is in flight. It steps down as no quorum responds; the
     * next leader never received the change, and the old one discards it when it is reconnected.
     */
    @Test
    void isolatedLeaderStepsDownAndItsUncommittedChangeIsLost() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember isolated = cluster.elect();
        cluster.dropRule = message -> message.from() == isolated.id || message.to() == isolated.id;
        isolated.propose("lost");
        cluster.advanceTime(8_000);
        assertThat(isolated.node.isLeader()).as("the isolated member still leads").isFalse();
        TestCluster.TestMember next = cluster.leaders().iterator().next();
        next.propose("kept");
        cluster.dropRule = message -> false;
        cluster.advanceTime(8_000);
        assertThat(cluster.members.values())
                .allSatisfy(member -> assertThat(member.appliedChanges()).containsExactly("kept"));
    }

    /**
     * Figure 8 of the Raft paper: an entry of an older term is stored on a quorum and could still
     * be overwritten by a leader that does not have it. It is committed only with an entry of the
     * leader's own term.
     */
    @Test
    void entryOfAnOlderTermCommitsOnlyWithOneOfTheLeadersTerm() {
        Membership five = new TestCluster(5).member(1).node.membership();
        Entry oldEntry = new Entry(1, 2, Entry.Kind.CHANGE, 1, 1, CHANGE, null);
        RaftNode raft =
                new RaftNode(
                        1,
                        new Timing(2_000, 400, 0.1, true, 1),
                        new SafetyRules(),
                        new SplittableRandom(1),
                        0,
                        new TermAndVote(3, 1),
                        new Snapshot(0, 0, five, new byte[0]),
                        List.of(oldEntry));
        TestCluster.TestMember member = new TestCluster(5).member(1);
        member.node = raft;
        raft.tick(9_000);
        member.pollAll();
        raft.receive(new Message.VoteResponse(2, 1, 4, true, true));
        raft.receive(new Message.VoteResponse(3, 1, 4, true, true));
        member.pollAll();
        raft.receive(new Message.VoteResponse(2, 1, 4, false, true));
        raft.receive(new Message.VoteResponse(3, 1, 4, false, true));
        member.pollAll();
        assertThat(raft.isLeader()).isTrue();
        raft.receive(new Message.AppendResponse(2, 1, 4, true, 1, 0, 0, 1, 9_000, 0));
        raft.receive(new Message.AppendResponse(3, 1, 4, true, 1, 0, 0, 1, 9_000, 0));
        member.pollAll();
        assertThat(raft.commitIndex())
                .as("commit index when a quorum holds entry 1, of the older term 2")
                .isZero();
        raft.receive(new Message.AppendResponse(2, 1, 4, true, 2, 0, 0, 1, 9_000, 0));
        raft.receive(new Message.AppendResponse(3, 1, 4, true, 2, 0, 0, 1, 9_000, 0));
        member.pollAll();
        assertThat(raft.commitIndex())
                .as("commit index when a quorum holds entry 2, of the leader's term")
                .isEqualTo(2);
    }

    /**
     * All members campaign at the same time and split the votes. Randomized timeouts let one win.
     */
    @Test
    void simultaneousCandidatesEndWithOneLeader() {
        TestCluster cluster = new TestCluster(3);
        cluster.nowTicks += 5_000;
        cluster.members.values().forEach(member -> member.node.tick(cluster.nowTicks));
        cluster.deliverAll();
        cluster.advanceTime(20_000);
        assertThat(cluster.leaders()).hasSize(1);
    }

    /**
     * A member receives no messages; later, its own messages are lost. Each time it campaigns
     * without success. It must not raise the term and depose a leader that works for the others.
     */
    @Test
    void memberCutOffOneWayDoesNotDeposeAWorkingLeader() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        long term = leader.node.term();
        long isolated = leader.id == 1 ? 2 : 1;
        cluster.dropRule = message -> message.to() == isolated;
        cluster.advanceTime(30_000);
        assertThat(leader.node.isLeader()).isTrue();
        assertThat(leader.node.term()).isEqualTo(term);
        cluster.dropRule = message -> message.from() == isolated;
        cluster.advanceTime(30_000);
        assertThat(leader.node.isLeader())
                .as("the leader still leads while the member's messages are lost")
                .isTrue();
        cluster.dropRule = message -> false;
        cluster.advanceTime(2_000);
        assertThat(leader.node.term()).isEqualTo(term);
    }

    /**
     * A leader's heartbeats arrive, but no response reaches it. It can commit nothing, so it must
     * step down; otherwise its followers would never elect another.
     */
    @Test
    void leaderThatReceivesNoResponsesStepsDown() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        cluster.dropRule = message -> message.to() == leader.id;
        cluster.advanceTime(10_000);
        assertThat(leader.node.isLeader()).isFalse();
        assertThat(cluster.leaders()).hasSize(1);
    }

    /**
     * Messages of an old leader arrive after its successor has committed more entries, twice each
     * and in reverse order. None may truncate entries that were acknowledged since.
     */
    @Test
    void delayedDuplicatedAndReorderedMessagesChangeNothing() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        cluster.dropRule = message -> message instanceof Message.AppendRequest;
        leader.propose("a");
        leader.propose("b");
        List<Message> delayed = List.copyOf(cluster.dropped);
        cluster.dropRule = message -> false;
        cluster.advanceTime(2_000);
        TestCluster.TestMember next = cluster.elect(leader.id == 1 ? 2 : 1);
        next.propose("c");
        cluster.advanceTime(2_000);
        for (int i = delayed.size() - 1; i >= 0; i--) {
            cluster.inFlight.add(delayed.get(i));
            cluster.inFlight.add(delayed.get(i));
        }
        cluster.deliverAll().advanceTime(2_000);
        assertThat(cluster.members.values())
                .allSatisfy(
                        member ->
                                assertThat(member.appliedChanges()).containsExactly("a", "b", "c"));
    }

    /**
     * A leader process is suspended while another takes over. When it resumes, it must not answer
     * reads from its old state.
     */
    @Test
    void suspendedLeaderNeitherLeadsNorAnswersReadsWhenItResumes() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        RaftNode suspended = leader.node;
        leader.node = null;
        for (int i = 0; i < 100; i++) {
            cluster.nowTicks += 100;
            cluster.members.values().stream()
                    .filter(member -> member.node != null)
                    .forEach(member -> member.node.tick(cluster.nowTicks));
            cluster.deliverAll();
        }
        TestCluster.TestMember next = cluster.leaders().iterator().next();
        next.propose("new");
        cluster.deliverAll();
        leader.node = suspended;
        leader.node.tick(cluster.nowTicks);
        leader.node.requestRead(7);
        leader.pollAll();
        assertThat(leader.node.isLeader()).isFalse();
        assertThat(leader.reads).containsEntry(7L, false);
    }

    /**
     * One member's clock jumps an hour ahead. Its election timer expires, but no change is lost and
     * one member leads afterwards.
     */
    @Test
    void clockJumpOfOneMemberLosesNoChangeAndLeavesOneLeader() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        leader.propose("a");
        cluster.deliverAll();
        long other = leader.id == 1 ? 2 : 1;
        cluster.member(other).node.tick(cluster.nowTicks + 3_600_000_0L);
        cluster.deliverAll().advanceTime(10_000);
        assertThat(cluster.leaders()).hasSize(1);
        cluster.leaders().iterator().next().propose("b");
        cluster.advanceTime(2_000);
        assertThat(cluster.member(3).appliedChanges()).containsExactly("a", "b");
    }

    /**
     * A leader with a lease starts a transfer, and its message to the target is delayed. The target
     * will campaign without waiting for the lease to expire, so the old leader must stop answering
     * reads under it.
     */
    @Test
    void leadershipTransferEndsLeaseReads() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        leader.propose("a");
        cluster.advanceTime(1_000);
        cluster.dropRule = message -> true;
        leader.node.requestRead(1);
        leader.pollAll();
        assertThat(leader.reads)
                .as("read under the lease, before the transfer")
                .containsEntry(1L, true);
        leader.node.transferLeadership(leader.id == 1 ? 2 : 1);
        leader.node.requestRead(2);
        leader.pollAll();
        assertThat(leader.reads).as("read after the transfer was started").doesNotContainKey(2L);
        cluster.advanceTime(3_000);
        assertThat(leader.reads).containsEntry(2L, false);
    }

    /**
     * A follower's clock runs a third too fast, so it would vote for another member before the
     * leader's lease expires. The leader detects the drift from the responses and asks a quorum for
     * each read.
     */
    @Test
    void clockDriftBeyondTheLimitEndsLeaseReads() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        leader.propose("a");
        cluster.advanceTime(1_000);
        assertThat(leader.node.status().holdsLease()).isTrue();
        long fast = leader.id == 1 ? 2 : 1;
        for (long i = 0; i < 400; i++) {
            cluster.nowTicks += 400;
            cluster.members
                    .values()
                    .forEach(
                            member ->
                                    member.node.tick(
                                            member.id == fast
                                                    ? cluster.nowTicks
                                                            + (cluster.nowTicks - 1_000_000) / 3
                                                    : cluster.nowTicks));
            cluster.deliverAll();
        }
        assertThat(leader.logLines)
                .anyMatch(line -> line.contains("clock drift exceeds the limit"));
        assertThat(leader.node.status().holdsLease()).isFalse();
    }

    @Test
    void leadershipTransferTakesEffectWithoutElectionTimeout() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        long to = leader.id == 1 ? 2 : 1;
        assertThat(leader.node.transferLeadership(to)).isNull();
        cluster.deliverAll();
        assertThat(cluster.member(to).node.isLeader()).isTrue();
    }

    @Test
    void joiningMemberCatchesUpBeforeItVotesAndOnlyOneChangeRunsAtATime() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        leader.propose("a");
        cluster.advanceTime(1_000);
        cluster.addBlankMember(4);
        Member fourth = new Member(4, "n4", "at4", Member.Role.JOINING);
        assertThat(leader.node.changeMembership(fourth, false)).isNull();
        assertThat(leader.node.changeMembership(cluster.member(1).node.membership().get(2), true))
                .isEqualTo(ProposalRejection.MEMBERSHIP_UNSETTLED);
        cluster.advanceTime(5_000);
        assertThat(cluster.member(4).appliedChanges()).containsExactly("a");
        assertThat(cluster.member(1).node.membership().isVoter(4)).isTrue();
    }

    /**
     * A removed member does not learn of its removal and keeps campaigning. The others must not
     * adopt its higher terms.
     */
    @Test
    void removedMemberThatCampaignsDoesNotDeposeTheLeader() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        cluster.advanceTime(1_000);
        long removed = leader.id == 1 ? 2 : 1;
        cluster.dropRule = message -> message.to() == removed;
        assertThat(leader.node.changeMembership(leader.node.membership().get(removed), true))
                .isNull();
        cluster.advanceTime(2_000);
        long term = leader.node.term();
        cluster.dropRule = message -> false;
        cluster.advanceTime(40_000);
        assertThat(leader.node.isLeader()).isTrue();
        assertThat(leader.node.term()).isEqualTo(term);
    }

    @Test
    void removedLeaderStepsDownOnceItsRemovalIsCommitted() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        cluster.advanceTime(1_000);
        assertThat(leader.node.changeMembership(leader.node.membership().get(leader.id), true))
                .isNull();
        cluster.advanceTime(10_000);
        assertThat(leader.node.isLeader()).isFalse();
        assertThat(cluster.leaders()).hasSize(1);
        assertThat(cluster.leaders().iterator().next().node.membership().voterCount()).isEqualTo(2);
    }

    /**
     * A leader removes a member, but is cut off before another member receives the change. The
     * change is undone under the next leader.
     */
    @Test
    void uncommittedMembershipIsRolledBackUnderTheNextLeader() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        cluster.advanceTime(1_000);
        cluster.dropRule = message -> message.from() == leader.id;
        leader.node.changeMembership(leader.node.membership().get(leader.id == 1 ? 2 : 1), true);
        leader.pollAll();
        assertThat(leader.node.membership().voterCount()).isEqualTo(2);
        cluster.advanceTime(10_000);
        cluster.dropRule = message -> false;
        cluster.advanceTime(5_000);
        assertThat(cluster.members.values())
                .allSatisfy(
                        member -> assertThat(member.node.membership().voterCount()).isEqualTo(3));
    }

    /**
     * A follower misses so many entries that the leader has compacted them. While the snapshot is
     * sent, chunks are lost for a while and one arrives corrupt. The follower requests it again and
     * catches up, while writes continue.
     */
    @Test
    void laggingFollowerInstallsASnapshotDespiteLostAndCorruptChunks() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        long lagging = leader.id == 1 ? 2 : 1;
        cluster.dropRule = message -> message.to() == lagging;
        for (int i = 0; i < 100_000; i++) {
            leader.propose("c" + i);
            if (i % 1_000 == 0) {
                cluster.advanceTime(400);
            }
        }
        cluster.advanceTime(1_000);
        byte[] image = new byte[300_000];
        new SplittableRandom(1).nextBytes(image);
        leader.node.snapshotSaved(
                new Snapshot(
                        leader.node.appliedIndex(),
                        leader.node.log().lastTerm(),
                        leader.node.membership(),
                        image));
        int[] chunks = {0};
        cluster.dropRule =
                message -> {
                    if (message instanceof Message.SnapshotChunk chunk && ++chunks[0] == 3) {
                        cluster.inFlight.add(corrupted(chunk));
                        return true;
                    }
                    return message instanceof Message.SnapshotChunk && chunks[0] == 2;
                };
        leader.propose("after");
        for (int i = 0; i < 100; i++) {
            cluster.advanceTime(400);
            leader.propose("on");
        }
        cluster.advanceTime(4_000);
        assertThat(cluster.member(lagging).logLines)
                .anyMatch(line -> line.contains("snapshot checksum mismatch"));
        assertThat(cluster.member(lagging).restored.data()).isEqualTo(image);
        assertThat(cluster.member(lagging).appliedChanges())
                .as("changes applied after the snapshot")
                .hasSize(101)
                .startsWith("after");
    }

    /**
     * A leader's disk accepts no more writes. It hands over leadership, and the others continue to
     * commit without it.
     */
    @Test
    void leaderWithAFailedDiskStepsDown() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        cluster.advanceTime(1_000);
        leader.diskStalled = true;
        leader.node.diskStatusChanged(false);
        leader.pollAll();
        cluster.advanceTime(6_000);
        assertThat(leader.node.isLeader()).isFalse();
        assertThat(cluster.leaders()).hasSize(1);
        cluster.leaders().iterator().next().propose("a");
        cluster.advanceTime(1_000);
        assertThat(cluster.members.values().stream().filter(member -> member != leader))
                .allSatisfy(member -> assertThat(member.appliedChanges()).containsExactly("a"));
    }

    /**
     * A client keeps proposing while nothing can be committed. Memory must stay bounded, so
     * proposals are rejected, not queued.
     */
    @Test
    void oversizedAndExcessProposalsAreRejectedAtOnce() {
        TestCluster cluster = new TestCluster(3);
        TestCluster.TestMember leader = cluster.elect();
        byte[] oversized = new byte[RaftNode.MAX_CHANGE_BYTES + 1];
        assertThat(leader.node.propose(Entry.Kind.CHANGE, 1, 1, oversized).rejection())
                .isEqualTo(ProposalRejection.TOO_LARGE);
        cluster.dropRule = message -> true;
        ProposalRejection rejection = null;
        for (int i = 0; i < 30_000 && rejection != ProposalRejection.BUSY; i++) {
            rejection = leader.node.propose(Entry.Kind.CHANGE, 1, i, CHANGE).rejection();
        }
        assertThat(rejection)
                .as("rejection when too many entries are uncommitted")
                .isEqualTo(ProposalRejection.BUSY);
        RaftNode follower = cluster.member(leader.id == 1 ? 2 : 1).node;
        assertThat(follower.propose(Entry.Kind.CHANGE, 1, 1, CHANGE).rejection())
                .isEqualTo(ProposalRejection.NOT_LEADER);
    }
}
