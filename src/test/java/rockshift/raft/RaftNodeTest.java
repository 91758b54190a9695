package rockshift.raft;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Stories of the protocol: each a case that an agreement must survive. */
class RaftNodeTest {
    private static final byte[] CHANGE = {1};

    @Test
    void oneLeadsAndChangesReachAllInOneOrder() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        leader.propose("a");
        leader.propose("b");
        table.pass(1_000);
        assertThat(table.seats.values())
                .allSatisfy(seat -> assertThat(seat.changes()).containsExactly("a", "b"));
    }

    @Test
    void aVoteIsNotToldBeforeItIsDurableAndNotForgottenByACrash() {
        Table table = new Table(3);
        Table.Seat voter = table.seat(1);
        table.now += 10_000;
        voter.raft.tick(table.now - 5_000);
        voter.raft.tick(table.now);
        voter.run();
        table.mail.clear();
        voter.diskHolds = true;
        voter.raft.receive(new Message.VoteRequest(2, 1, 5, 0, 0, false, true));
        voter.run();
        assertThat(table.mail)
                .as("held until the disk is done")
                .noneMatch(message -> message instanceof Message.VoteResponse);
        voter.diskHolds = false;
        voter.ballot = new TermAndVote(5, 2);
        voter.raft.saved(voter.ticket);
        voter.run();
        assertThat(table.mail).contains(new Message.VoteResponse(1, 2, 5, false, true));
        voter.start();
        table.mail.clear();
        voter.raft.receive(new Message.VoteRequest(3, 1, 5, 9, 4, false, true));
        voter.run();
        assertThat(table.mail).containsExactly(new Message.VoteResponse(1, 3, 5, false, false));
    }

    @Test
    void aLeaderCutOffMidChangeLosesItUnlessMostHaveIt() {
        Table table = new Table(3);
        Table.Seat old = table.elect();
        table.loses = message -> message.from() == old.id || message.to() == old.id;
        old.propose("lost");
        table.pass(8_000);
        assertThat(old.raft.isLeader()).as("nobody answers it").isFalse();
        Table.Seat next = table.leaders().iterator().next();
        next.propose("kept");
        table.loses = message -> false;
        table.pass(8_000);
        assertThat(table.seats.values())
                .allSatisfy(seat -> assertThat(seat.changes()).containsExactly("kept"));
    }

    /** The paper's figure 8: an entry of an old term on most disks is not agreed by that alone. */
    @Test
    void entriesOfOldTermsAreAgreedOnlyWithOneOfTheLeadersOwn() {
        Membership five = new Table(5).seat(1).raft.membership();
        Entry old = new Entry(1, 2, Entry.Kind.CHANGE, 1, 1, CHANGE, null);
        RaftNode raft =
                new RaftNode(
                        1,
                        new Timing(2_000, 400, 0.1, true, 1),
                        new SafetyRules(),
                        new java.util.SplittableRandom(1),
                        0,
                        new TermAndVote(3, 1),
                        new Snapshot(0, 0, five, new byte[0]),
                        List.of(old));
        Table.Seat seat = new Table(5).seat(1);
        seat.raft = raft;
        raft.tick(9_000);
        seat.run();
        raft.receive(new Message.VoteResponse(2, 1, 4, true, true));
        raft.receive(new Message.VoteResponse(3, 1, 4, true, true));
        seat.run();
        raft.receive(new Message.VoteResponse(2, 1, 4, false, true));
        raft.receive(new Message.VoteResponse(3, 1, 4, false, true));
        seat.run();
        assertThat(raft.isLeader()).isTrue();
        raft.receive(new Message.AppendResponse(2, 1, 4, true, 1, 0, 0, 1, 9_000, 0));
        raft.receive(new Message.AppendResponse(3, 1, 4, true, 1, 0, 0, 1, 9_000, 0));
        seat.run();
        assertThat(raft.commitIndex()).as("most hold entry 1, of term 2").isZero();
        raft.receive(new Message.AppendResponse(2, 1, 4, true, 2, 0, 0, 1, 9_000, 0));
        raft.receive(new Message.AppendResponse(3, 1, 4, true, 2, 0, 0, 1, 9_000, 0));
        seat.run();
        assertThat(raft.commitIndex())
                .as("entry 2 is of its own term, and takes entry 1 along")
                .isEqualTo(2);
    }

    @Test
    void twoThatCampaignAtOnceEndWithOneLeader() {
        Table table = new Table(3);
        table.now += 5_000;
        table.seats.values().forEach(seat -> seat.raft.tick(table.now));
        table.settle();
        table.pass(20_000);
        assertThat(table.leaders()).hasSize(1);
    }

    @Test
    void whoHearsNothingDoesNotDeposeALeaderThatWorks() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        long term = leader.raft.term();
        long deaf = leader.id == 1 ? 2 : 1;
        table.loses = message -> message.to() == deaf;
        table.pass(30_000);
        assertThat(leader.raft.isLeader()).isTrue();
        assertThat(leader.raft.term()).isEqualTo(term);
        table.loses = message -> message.from() == deaf;
        table.pass(30_000);
        assertThat(leader.raft.isLeader()).as("nor one that is not heard").isTrue();
        table.loses = message -> false;
        table.pass(2_000);
        assertThat(leader.raft.term()).isEqualTo(term);
    }

    @Test
    void aLeaderThatHearsNobodyEndsThoughItIsHeard() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        table.loses = message -> message.to() == leader.id;
        table.pass(10_000);
        assertThat(leader.raft.isLeader()).isFalse();
        assertThat(table.leaders()).hasSize(1);
    }

    @Test
    void lateDoubledAndTurnedRoundMessagesChangeNothing() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        table.loses = message -> message instanceof Message.AppendRequest;
        leader.propose("a");
        leader.propose("b");
        List<Message> late = List.copyOf(table.lost);
        table.loses = message -> false;
        table.pass(2_000);
        Table.Seat next = table.elect(leader.id == 1 ? 2 : 1);
        next.propose("c");
        table.pass(2_000);
        for (int i = late.size() - 1; i >= 0; i--) {
            table.mail.add(late.get(i));
            table.mail.add(late.get(i));
        }
        table.settle().pass(2_000);
        assertThat(table.seats.values())
                .allSatisfy(seat -> assertThat(seat.changes()).containsExactly("a", "b", "c"));
    }

    @Test
    void aStoppedLeaderThatWakesNeitherLeadsNorAnswersReads() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        RaftNode asleep = leader.raft;
        leader.raft = null;
        for (int i = 0; i < 100; i++) {
            table.now += 100;
            table.seats.values().stream()
                    .filter(seat -> seat.raft != null)
                    .forEach(seat -> seat.raft.tick(table.now));
            table.settle();
        }
        Table.Seat next = table.leaders().iterator().next();
        next.propose("new");
        table.settle();
        leader.raft = asleep;
        leader.raft.tick(table.now);
        leader.raft.requestRead(7);
        leader.run();
        assertThat(leader.raft.isLeader()).isFalse();
        assertThat(leader.reads).containsEntry(7L, false);
    }

    @Test
    void aClockThatJumpsAheadCostsAnElectionAtMost() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        leader.propose("a");
        table.settle();
        long other = leader.id == 1 ? 2 : 1;
        table.seat(other).raft.tick(table.now + 3_600_000_0L);
        table.settle().pass(10_000);
        assertThat(table.leaders()).hasSize(1);
        table.leaders().iterator().next().propose("b");
        table.pass(2_000);
        assertThat(table.seat(3).changes()).containsExactly("a", "b");
    }

    @Test
    void readsWaitForARoundWhereNoLeaseHoldsAndLeasesEndWithAHandOver() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        leader.propose("a");
        table.pass(1_000);
        table.loses = message -> true;
        leader.raft.requestRead(1);
        leader.run();
        assertThat(leader.reads).as("by the lease").containsEntry(1L, true);
        leader.raft.transferLeadership(leader.id == 1 ? 2 : 1);
        leader.raft.requestRead(2);
        leader.run();
        assertThat(leader.reads)
                .as("the one told to campaign is bound by no lease")
                .doesNotContainKey(2L);
        table.pass(3_000);
        assertThat(leader.reads).containsEntry(2L, false);
    }

    @Test
    void clocksThatRunApartByMoreThanTheBoundEndLeases() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        leader.propose("a");
        table.pass(1_000);
        assertThat(leader.raft.status().holdsLease()).isTrue();
        long fast = leader.id == 1 ? 2 : 1;
        for (long i = 0; i < 400; i++) {
            table.now += 400;
            table.seats
                    .values()
                    .forEach(
                            seat ->
                                    seat.raft.tick(
                                            seat.id == fast
                                                    ? table.now + (table.now - 1_000_000) / 3
                                                    : table.now));
            table.settle();
        }
        assertThat(leader.said).anyMatch(line -> line.contains("runs apart"));
        assertThat(leader.raft.status().holdsLease()).isFalse();
    }

    @Test
    void leadershipIsHandedOverWithoutWaiting() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        long to = leader.id == 1 ? 2 : 1;
        assertThat(leader.raft.transferLeadership(to)).isNull();
        table.settle();
        assertThat(table.seat(to).raft.isLeader()).isTrue();
    }

    @Test
    void membersChangeOneAtATimeAndTheNewOneLearnsFirst() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        leader.propose("a");
        table.pass(1_000);
        table.blank(4);
        Member fourth = new Member(4, "n4", "at4", Member.Role.JOINING);
        assertThat(leader.raft.changeMembership(fourth, false)).isNull();
        assertThat(leader.raft.changeMembership(table.seat(1).raft.membership().get(2), true))
                .isEqualTo(ProposalRejection.MEMBERSHIP_UNSETTLED);
        table.pass(5_000);
        assertThat(table.seat(4).changes()).containsExactly("a");
        assertThat(table.seat(1).raft.membership().isVoter(4)).isTrue();
    }

    @Test
    void aRemovedMemberThatCampaignsDisturbsNobody() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        table.pass(1_000);
        long out = leader.id == 1 ? 2 : 1;
        table.loses = message -> message.to() == out;
        assertThat(leader.raft.changeMembership(leader.raft.membership().get(out), true)).isNull();
        table.pass(2_000);
        long term = leader.raft.term();
        table.loses = message -> false;
        table.pass(40_000);
        assertThat(leader.raft.isLeader()).isTrue();
        assertThat(leader.raft.term()).isEqualTo(term);
    }

    @Test
    void aLeaderThatIsRemovedEndsOnceThatIsAgreed() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        table.pass(1_000);
        assertThat(leader.raft.changeMembership(leader.raft.membership().get(leader.id), true))
                .isNull();
        table.pass(10_000);
        assertThat(leader.raft.isLeader()).isFalse();
        assertThat(table.leaders()).hasSize(1);
        assertThat(table.leaders().iterator().next().raft.membership().voterCount()).isEqualTo(2);
    }

    @Test
    void aMembershipThatWasNotAgreedEndsWithItsLeader() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        table.pass(1_000);
        table.loses = message -> message.from() == leader.id;
        leader.raft.changeMembership(leader.raft.membership().get(leader.id == 1 ? 2 : 1), true);
        leader.run();
        assertThat(leader.raft.membership().voterCount()).isEqualTo(2);
        table.pass(10_000);
        table.loses = message -> false;
        table.pass(5_000);
        assertThat(table.seats.values())
                .allSatisfy(seat -> assertThat(seat.raft.membership().voterCount()).isEqualTo(3));
    }

    @Test
    void whoIsFarBehindGetsASnapshotInPiecesThoughItIsInterruptedAndOnceCorrupt() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        long behind = leader.id == 1 ? 2 : 1;
        table.loses = message -> message.to() == behind;
        for (int i = 0; i < 100_000; i++) {
            leader.propose("c" + i);
            if (i % 1_000 == 0) {
                table.pass(400);
            }
        }
        table.pass(1_000);
        byte[] image = new byte[300_000];
        new java.util.SplittableRandom(1).nextBytes(image);
        leader.raft.snapshotTaken(
                new Snapshot(
                        leader.raft.appliedIndex(),
                        leader.raft.log().lastTerm(),
                        leader.raft.membership(),
                        image));
        int[] pieces = {0};
        table.loses =
                message -> {
                    if (message instanceof Message.SnapshotChunk piece && ++pieces[0] == 3) {
                        byte[] wrong = piece.bytes().clone();
                        wrong[7] ^= 1;
                        table.mail.add(
                                new Message.SnapshotChunk(
                                        piece.from(),
                                        piece.to(),
                                        piece.term(),
                                        piece.snapshotIndex(),
                                        piece.snapshotTerm(),
                                        piece.membership(),
                                        piece.totalBytes(),
                                        piece.checksum(),
                                        piece.offset(),
                                        wrong,
                                        piece.round(),
                                        piece.sentAtTicks()));
                        return true;
                    }
                    return message instanceof Message.SnapshotChunk && pieces[0] == 2;
                };
        leader.propose("after");
        for (int i = 0; i < 100; i++) {
            table.pass(400);
            leader.propose("on");
        }
        table.pass(4_000);
        assertThat(table.seat(behind).said).anyMatch(line -> line.contains("came corrupt"));
        assertThat(table.seat(behind).restored.data()).isEqualTo(image);
        assertThat(table.seat(behind).changes())
                .as("writes went on")
                .hasSize(101)
                .startsWith("after");
    }

    @Test
    void aDiskThatTakesNothingEndsLeadingAndVoting() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        table.pass(1_000);
        leader.diskHolds = true;
        leader.raft.diskStatusChanged(false);
        leader.run();
        table.pass(6_000);
        assertThat(leader.raft.isLeader()).isFalse();
        assertThat(table.leaders()).hasSize(1);
        table.leaders().iterator().next().propose("a");
        table.pass(1_000);
        assertThat(table.seats.values().stream().filter(seat -> seat != leader))
                .allSatisfy(seat -> assertThat(seat.changes()).containsExactly("a"));
    }

    @Test
    void tooLargeAndTooManyProposalsAreRefusedAtOnce() {
        Table table = new Table(3);
        Table.Seat leader = table.elect();
        ProposalRejection[] why = new ProposalRejection[1];
        leader.raft.propose(Entry.Kind.CHANGE, 1, 1, new byte[RaftNode.MAX_CHANGE_BYTES + 1], why);
        assertThat(why[0]).isEqualTo(ProposalRejection.TOO_LARGE);
        table.loses = message -> true;
        for (int i = 0; i < 30_000 && why[0] != ProposalRejection.BUSY; i++) {
            leader.raft.propose(Entry.Kind.CHANGE, 1, i, CHANGE, why);
        }
        assertThat(why[0]).as("a client that never stops").isEqualTo(ProposalRejection.BUSY);
        table.seat(leader.id == 1 ? 2 : 1).raft.propose(Entry.Kind.CHANGE, 1, 1, CHANGE, why);
        assertThat(why[0]).isEqualTo(ProposalRejection.NOT_LEADER);
    }
}
