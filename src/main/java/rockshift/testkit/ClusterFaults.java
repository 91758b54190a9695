package rockshift.testkit;

import java.util.random.RandomGenerator;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.RaftNode;

/**
 * Injects random faults into the hosts, the network and the membership of a simulated cluster until
 * its fault phase ends. Single-threaded, in simulated time.
 */
final class ClusterFaults {
    private final SimulatedCluster cluster;
    private final SeedProfile profile;
    private final RandomGenerator random;
    private final FaultyNetwork network;

    ClusterFaults(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.profile = cluster.profile();
        this.random = cluster.random();
        this.network = cluster.network();
    }

    /** Injects a fault now and schedules the next one after a random time. */
    void injectNext() {
        if (!cluster.inFaultPhase()) {
            return;
        }
        cluster.after(random.nextLong(50, profile.maxFaultIntervalTicks()), this::injectNext);
        if (profile.focus() == SeedProfile.Focus.READS && random.nextInt(10) > 0) {
            injectReadFault();
        } else if (profile.focus() == SeedProfile.Focus.LEADERS && random.nextInt(4) > 0) {
            cluster.leaders().forEach(SimulatedHost::crash);
        } else {
            injectAny();
        }
    }

    /**
     * Transfers leadership to or from the lagging member, or partitions it, so that it learns late
     * or never that it is no longer the leader.
     */
    private void injectReadFault() {
        int lagging = profile.laggingMember();
        int other = random.nextInt(hostCount());
        int fault = random.nextInt(5);
        if (fault < 2) {
            transferLeadership(lagging);
        } else if (fault == 2) {
            transferLeadership(other);
        } else if (fault == 3) {
            isolate(lagging);
        } else {
            partitionOneWay(lagging, other);
        }
    }

    private void injectAny() {
        SimulatedHost host = host(random.nextInt(hostCount()));
        switch (random.nextInt(15)) {
            case 0, 1 -> host.crash();
            case 2 -> cluster.leaders().findFirst().ifPresent(SimulatedHost::crash);
            case 3, 4 -> splitNetwork();
            case 5 -> partitionFrom(host);
            case 6 -> isolateOneWay(host);
            case 7 -> disturbNetwork();
            case 8 -> healNetwork();
            case 9 -> host.pause(random.nextLong(500, 8_000));
            case 10 -> disturbDisk(host);
            case 11 -> host.wipe();
            case 12 -> removeMembersBehindPartition();
            default -> changeMembers();
        }
    }

    private SimulatedHost host(int index) {
        return cluster.hosts().get(index);
    }

    private int hostCount() {
        return cluster.hosts().size();
    }

    private void healLater() {
        cluster.after(random.nextLong(500, 8_000), cluster::healNetwork);
    }

    private void isolate(int member) {
        for (int other = 0; other < hostCount(); other++) {
            network.partition(other, member, true);
            network.partition(member, other, true);
        }
        cluster.trace("n%d is isolated", member);
        healLater();
    }

    private void partitionOneWay(int from, int to) {
        network.partition(from, to, true);
        cluster.trace("one-way partition from n%d to n%d", from, to);
        healLater();
    }

    private void partitionFrom(SimulatedHost host) {
        int other = random.nextInt(hostCount());
        network.partition(host.index(), other, true);
        healLater();
        cluster.trace("one-way partition from n%d to n%d", host.index(), other);
    }

    /** Partitions a host from all others in one direction. */
    private void isolateOneWay(SimulatedHost host) {
        boolean inbound = random.nextBoolean();
        for (int other = 0; other < hostCount(); other++) {
            int from = inbound ? other : host.index();
            int to = inbound ? host.index() : other;
            network.partition(from, to, true);
        }
        healLater();
        cluster.trace(
                "n%d %s",
                host.index(), inbound ? "receives no messages" : "loses all sent messages");
    }

    private void splitNetwork() {
        healLater();
        int side = random.nextInt(1, 1 << hostCount());
        for (int from = 0; from < hostCount(); from++) {
            for (int to = 0; to < hostCount(); to++) {
                network.partition(from, to, (side >> from & 1) != (side >> to & 1));
            }
        }
        cluster.trace("network partitioned, sides %s", Integer.toBinaryString(side));
    }

    private void disturbNetwork() {
        network.disturb(random);
        healLater();
        cluster.trace("network %s", network);
    }

    private void healNetwork() {
        cluster.healNetwork();
        cluster.trace("network healed");
    }

    private void disturbDisk(SimulatedHost host) {
        host.toggleSlowDisk();
        host.disk().setFull(random.nextInt(3) == 0);
        cluster.trace(
                "disk of n%d %s%s",
                host.index(),
                host.hasSlowDisk() ? "slow" : "at normal speed",
                host.disk().isFull() ? ", full" : "");
        cluster.after(random.nextLong(1_000, 5_000), () -> host.disk().setFull(false));
    }

    private void transferLeadership(int member) {
        cluster.leaders().findAny().ifPresent(leader -> transferLeadership(leader, member));
    }

    private void transferLeadership(SimulatedHost leader, int member) {
        cluster.trace("n%d is asked to transfer leadership to n%d", leader.index(), member);
        leader.engine().transferLeadership(0, host(member).id());
        leader.run();
    }

    /** Partitions a leader and one other member from the rest, then asks it to remove the rest. */
    private void removeMembersBehindPartition() {
        SimulatedHost leader = cluster.leaders().findAny().orElse(host(0));
        SimulatedHost other = host((leader.index() + 1) % hostCount());
        for (int index = 0; index < hostCount(); index++) {
            boolean withLeader = index == leader.index() || index == other.index();
            network.partition(index, leader.index(), !withLeader);
            network.partition(leader.index(), index, !withLeader);
            network.partition(index, other.index(), !withLeader);
            network.partition(other.index(), index, !withLeader);
        }
        cluster.trace("n%d and n%d are partitioned from the rest", leader.index(), other.index());
        healLater();
        for (SimulatedHost host : cluster.hosts()) {
            if (host != leader
                    && host != other
                    && leader.engine() != null
                    && leader.engine().raft().membership().voterCount() > 3) {
                leader.engine().changeMembership(0, host.member(Member.Role.VOTER), true);
                leader.run();
            }
        }
    }

    private void changeMembers() {
        for (int remaining = random.nextInt(3); remaining >= 0; remaining--) {
            SimulatedHost host = host(random.nextInt(hostCount()));
            cluster.leaders().findAny().ifPresent(leader -> changeMember(leader, host));
        }
    }

    /**
     * Asks the leader to remove a member whose disk was wiped. If there is none, it asks to add or
     * remove the given host or to transfer leadership to it.
     */
    private void changeMember(SimulatedHost leader, SimulatedHost host) {
        RaftNode raft = leader.engine().raft();
        Member stale = wipedMember(raft.membership());
        if (stale != null) {
            cluster.trace("n%d is asked to remove %s", leader.index(), stale.name());
            leader.engine().changeMembership(0, stale, true);
        } else if (raft.membership().get(host.id()) == null) {
            cluster.trace("n%d is asked to add n%d", leader.index(), host.index());
            leader.engine().changeMembership(0, host.member(Member.Role.JOINING), false);
        } else if (random.nextInt(3) > 0) {
            transferLeadership(host.index());
        } else if (raft.membership().voterCount() > 2) {
            cluster.trace("n%d is asked to remove n%d", leader.index(), host.index());
            leader.engine().changeMembership(0, host.member(Member.Role.VOTER), true);
        }
        leader.run();
    }

    /** Returns a member whose ID no host uses any more, or null if there is none. */
    private Member wipedMember(Membership membership) {
        return membership.all().stream()
                .filter(
                        member ->
                                cluster.hosts().stream()
                                        .noneMatch(host -> host.id() == member.id()))
                .findFirst()
                .orElse(null);
    }
}
