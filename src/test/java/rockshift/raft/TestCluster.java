package rockshift.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * A cluster in one process, without threads. The test controls when time passes, which messages
 * arrive, and whose disk writes complete.
 */
final class TestCluster {
    static final Timing TIMING = new Timing(2_000, 400, 0.1, true, 512);

    final Map<Long, TestMember> members = new TreeMap<>();

    /** Messages that were sent and have not arrived yet. */
    final ArrayDeque<Message> inFlight = new ArrayDeque<>();

    final List<Message> dropped = new ArrayList<>();
    Predicate<Message> dropRule = message -> false;
    long nowTicks = 1_000_000;

    /** A member and its disk. */
    final class TestMember implements RaftOutput {
        final long id;
        final SafetyRules rules;
        RaftNode node;
        TermAndVote termAndVote = TermAndVote.NONE;
        Snapshot snapshot;
        final TreeMap<Long, Entry> disk = new TreeMap<>();
        final List<Entry> applied = new ArrayList<>();
        final Map<Long, Boolean> reads = new LinkedHashMap<>();
        final List<String> logLines = new ArrayList<>();
        Snapshot restored;
        boolean diskStalled;
        long stalledWriteNumber;

        TestMember(long id, Membership members, SafetyRules rules) {
            this.id = id;
            this.rules = rules;
            snapshot = new Snapshot(0, 0, members, new byte[0]);
            restart();
        }

        /** Restarts the member with the state on its disk, as after a crash. */
        void restart() {
            stalledWriteNumber = 0;
            node =
                    new RaftNode(
                            id,
                            TIMING,
                            rules,
                            new SplittableRandom(id),
                            nowTicks,
                            termAndVote,
                            snapshot,
                            List.copyOf(disk.tailMap(snapshot.index(), false).values()));
        }

        @Override
        public void persist(
                long writeNumber,
                TermAndVote newTermAndVote,
                long from,
                List<Entry> entries,
                Snapshot newSnapshot) {
            if (diskStalled) {
                stalledWriteNumber = writeNumber;
                return;
            }
            termAndVote = newTermAndVote;
            if (newSnapshot != null) {
                snapshot = newSnapshot;
                disk.clear();
            }
            if (from > 0) {
                disk.tailMap(from, true).clear();
            }
            entries.forEach(entry -> disk.put(entry.index(), entry));
            node.writeCompleted(writeNumber);
        }

        @Override
        public void send(Message message) {
            (dropRule.test(message) ? dropped : inFlight).add(message);
        }

        @Override
        public void apply(Entry entry) {
            applied.add(entry);
        }

        @Override
        public void restore(Snapshot installed) {
            restored = installed;
        }

        @Override
        public void readReady(long token) {
            reads.put(token, true);
        }

        @Override
        public void readRejected(long token) {
            reads.put(token, false);
        }

        @Override
        public void log(String line) {
            logLines.add(line);
        }

        TestMember pollAll() {
            while (node.poll(this)) {
                continue;
            }
            return this;
        }

        /** Proposes a change and returns its index, 0 if it is rejected. */
        long propose(String change) {
            ProposalResult result =
                    node.propose(Entry.Kind.CHANGE, 1, lastIndex() + 1, change.getBytes());
            pollAll();
            return result.index();
        }

        long lastIndex() {
            return node.log().lastIndex();
        }

        List<String> appliedChanges() {
            return applied.stream()
                    .filter(entry -> entry.kind() == Entry.Kind.CHANGE)
                    .map(entry -> new String(entry.body()))
                    .toList();
        }
    }

    TestCluster(int size) {
        this(size, new SafetyRules());
    }

    TestCluster(int size, SafetyRules rules) {
        List<Member> all = new ArrayList<>();
        for (long id = 1; id <= size; id++) {
            all.add(new Member(id, "n" + id, "at" + id, Member.Role.VOTER));
        }
        all.forEach(
                member ->
                        members.put(
                                member.id(),
                                new TestMember(member.id(), new Membership(all), rules)));
    }

    TestMember member(long id) {
        return members.get(id);
    }

    /** Adds a blank member that belongs to no cluster yet. */
    TestMember addBlankMember(long id) {
        members.put(id, new TestMember(id, new Membership(List.of()), new SafetyRules()));
        return member(id);
    }

    /** Delivers all messages, and those that follow from them, until none is in flight. */
    TestCluster deliverAll() {
        members.values().stream()
                .filter(member -> member.node != null)
                .forEach(TestMember::pollAll);
        while (!inFlight.isEmpty()) {
            Message message = inFlight.remove();
            TestMember to = members.get(message.to());
            if (to != null && to.node != null) {
                to.node.tick(nowTicks);
                to.node.receive(message);
                to.pollAll();
            }
        }
        return this;
    }

    /** Advances the time of all members, in steps of 100 ticks. */
    TestCluster advanceTime(long ticks) {
        for (long end = nowTicks + ticks; nowTicks < end; ) {
            nowTicks += 100;
            for (TestMember member : members.values()) {
                if (member.node != null) {
                    member.node.tick(nowTicks);
                }
            }
            deliverAll();
        }
        return this;
    }

    /** Advances the time until there is one leader. */
    TestMember elect() {
        for (int i = 0; i < 100 && leaders().size() != 1; i++) {
            advanceTime(200);
        }
        return leaders().iterator().next();
    }

    /** Makes one member campaign now, long after it last heard from a leader. */
    TestMember elect(long id) {
        nowTicks += 4 * TIMING.electionTimeoutTicks();
        member(id).node.tick(nowTicks);
        member(id).pollAll();
        return deliverAll().member(id);
    }

    Collection<TestMember> leaders() {
        return members.values().stream()
                .filter(member -> member.node != null && member.node.isLeader())
                .toList();
    }

    static Predicate<Message> between(Predicate<Long> side) {
        return message -> side.test(message.from()) != side.test(message.to());
    }
}
