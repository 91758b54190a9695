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
 * Members around one table: a story says when time passes, which messages arrive, and whose disk is
 * done.
 */
final class Table {
    static final Timing TIMING = new Timing(2_000, 400, 0.1, true, 512);

    final Map<Long, Seat> seats = new TreeMap<>();

    /** What was sent and has not arrived. */
    final ArrayDeque<Message> mail = new ArrayDeque<>();

    final List<Message> lost = new ArrayList<>();
    Predicate<Message> loses = message -> false;
    long now = 1_000_000;

    /** A member and its disk. */
    final class Seat implements RaftOutput {
        final long id;
        final SafetyRules rules;
        RaftNode raft;
        TermAndVote ballot = TermAndVote.NONE;
        Snapshot snapshot;
        final TreeMap<Long, Entry> disk = new TreeMap<>();
        final List<Entry> applied = new ArrayList<>();
        final Map<Long, Boolean> reads = new LinkedHashMap<>();
        final List<String> said = new ArrayList<>();
        Snapshot restored;
        boolean diskHolds;
        long ticket;

        Seat(long id, Membership members, SafetyRules rules) {
            this.id = id;
            this.rules = rules;
            snapshot = new Snapshot(0, 0, members, new byte[0]);
            start();
        }

        /** Begins anew with what its disk has. */
        void start() {
            ticket = 0;
            raft =
                    new RaftNode(
                            id,
                            TIMING,
                            rules,
                            new SplittableRandom(id),
                            now,
                            ballot,
                            snapshot,
                            List.copyOf(disk.tailMap(snapshot.index(), false).values()));
        }

        @Override
        public void persist(
                long number,
                TermAndVote newBallot,
                long from,
                List<Entry> entries,
                Snapshot other) {
            if (diskHolds) {
                ticket = number;
                return;
            }
            ballot = newBallot;
            if (other != null) {
                snapshot = other;
                disk.clear();
            }
            if (from > 0) {
                disk.tailMap(from, true).clear();
            }
            entries.forEach(entry -> disk.put(entry.index(), entry));
            raft.saved(number);
        }

        @Override
        public void send(Message message) {
            (loses.test(message) ? lost : mail).add(message);
        }

        @Override
        public void apply(Entry entry) {
            applied.add(entry);
        }

        @Override
        public void restore(Snapshot other) {
            restored = other;
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
            said.add(line);
        }

        Seat run() {
            while (raft.poll(this)) {
                continue;
            }
            return this;
        }

        /** Proposes a change; answers its index, or 0. */
        long propose(String change) {
            ProposalRejection[] why = new ProposalRejection[1];
            long index = raft.propose(Entry.Kind.CHANGE, 1, index() + 1, change.getBytes(), why);
            run();
            return index;
        }

        long index() {
            return raft.log().lastIndex();
        }

        List<String> changes() {
            return applied.stream()
                    .filter(entry -> entry.kind() == Entry.Kind.CHANGE)
                    .map(entry -> new String(entry.body()))
                    .toList();
        }
    }

    Table(int members) {
        this(members, new SafetyRules());
    }

    Table(int members, SafetyRules rules) {
        List<Member> all = new ArrayList<>();
        for (long id = 1; id <= members; id++) {
            all.add(new Member(id, "n" + id, "at" + id, Member.Role.VOTER));
        }
        all.forEach(
                member ->
                        seats.put(member.id(), new Seat(member.id(), new Membership(all), rules)));
    }

    Seat seat(long id) {
        return seats.get(id);
    }

    /** A blank member that takes part in nothing yet. */
    Seat blank(long id) {
        seats.put(id, new Seat(id, new Membership(List.of()), new SafetyRules()));
        return seat(id);
    }

    /** Delivers what was sent, and what follows from it, until nothing is under way. */
    Table settle() {
        seats.values().stream().filter(seat -> seat.raft != null).forEach(Seat::run);
        while (!mail.isEmpty()) {
            Message message = mail.remove();
            Seat to = seats.get(message.to());
            if (to != null && to.raft != null) {
                to.raft.tick(now);
                to.raft.receive(message);
                to.run();
            }
        }
        return this;
    }

    /** Time passes for all, in heartbeats. */
    Table pass(long tenths) {
        for (long end = now + tenths; now < end; ) {
            now += 100;
            for (Seat seat : seats.values()) {
                if (seat.raft != null) {
                    seat.raft.tick(now);
                }
            }
            settle();
        }
        return this;
    }

    /** Time passes until a member leads. */
    Seat elect() {
        for (int i = 0; i < 100 && leaders().size() != 1; i++) {
            pass(200);
        }
        return leaders().iterator().next();
    }

    /** Has one member campaign now, as if it had waited longest. */
    Seat elect(long id) {
        now += 4 * TIMING.electionTimeoutTicks();
        seat(id).raft.tick(now);
        seat(id).run();
        return settle().seat(id);
    }

    Collection<Seat> leaders() {
        return seats.values().stream()
                .filter(seat -> seat.raft != null && seat.raft.isLeader())
                .toList();
    }

    static Predicate<Message> between(Predicate<Long> side) {
        return message -> side.test(message.from()) != side.test(message.to());
    }
}
