package rockshift.kit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import rockshift.cluster.Codec;
import rockshift.cluster.DurableLog;
import rockshift.cluster.Engine;
import rockshift.cluster.UnrecoverableStorageException;
import rockshift.raft.Ballot;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Message;
import rockshift.raft.Raft;
import rockshift.raft.Sessions;
import rockshift.raft.Snapshot;
import rockshift.raft.Timing;

/**
 * Members, disks, a network and clients in simulated time, all from one seed. The members are the code that
 * ships; everything around them is worse than any real day. {@link HistoryChecker} is told of all that
 * happens.
 */
public final class SimulatedCluster {
    /** Tenths of a ms: how long faults go on, and how long all may take to come to rest after it. */
    private static final long TROUBLED = 90_000;
    private static final long CALM = 30_000;
    private static final long TICK = 150;
    private static final int LINES = 4_000;

    /**
     * What most of a seed's faults are about: anything; who leads and who reads; leaders that die one after
     * the other.
     */
    private enum Theme {
        ANYTHING, READS, LEADERS
    }

    private record Event(long at, long number, Runnable work) {}

    /** What a run came to. */
    public record Result(long seed, long steps, String violation, int changes, List<String> account) {}

    private final long seed;
    private final RandomGenerator chance;
    private final FaultInjection injection;
    private final boolean telling;
    private final boolean encoding;
    private final ArrayDeque<String> account = new ArrayDeque<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at)
                    : Long.compare(a.number, b.number));
    private final HistoryChecker history = new HistoryChecker();
    private final List<Host> hosts = new ArrayList<>();
    private final List<Client> clients = new ArrayList<>();
    private final boolean[][] cut;
    // How this seed differs from others.
    private final Theme theme;
    private final Timing timing;
    private final long pace;
    private final boolean rigid;
    private final long usualDelay;
    /** A member that hears everything late, and one whose disk is always slow; -1 for none. */
    private final int far;
    private final int sluggish;
    private double loss;
    private double twice;
    private long longest;
    private long now;
    private long steps;
    private long numbers;
    private boolean troubled = true;

    public SimulatedCluster(long seed, int members, FaultInjection injection, boolean telling) {
        this.seed = seed;
        this.injection = injection;
        this.telling = telling;
        chance = new SplittableRandom(seed);
        encoding = chance.nextInt(8) == 0;
        theme = new Theme[] {Theme.ANYTHING, Theme.ANYTHING, Theme.READS, Theme.LEADERS}[chance.nextInt(4)];
        boolean reads = theme == Theme.READS;
        boolean small = theme == Theme.LEADERS || chance.nextInt(3) == 0;
        timing = new Timing(2_000, 400, 0.1, chance.nextInt(3) > 0, small ? 1 + chance.nextInt(3) : 512);
        far = reads || chance.nextBoolean() ? chance.nextInt(members) : -1;
        sluggish = !reads && chance.nextInt(4) == 0 ? chance.nextInt(members) : -1;
        usualDelay =
                reads ? 20 : new long[] {20, theme == Theme.LEADERS ? 200 : 20, 200, 600}[chance.nextInt(4)];
        pace = reads ? 5_000 : new long[] {700, 2_000, 5_000}[chance.nextInt(3)];
        rigid = reads || chance.nextInt(3) == 0;
        cut = new boolean[members][members];
        calmNetwork();
        for (int i = 0; i < members; i++) {
            hosts.add(new Host(i));
        }
    }

    private void calmNetwork() {
        loss = 0;
        twice = 0;
        longest = troubled ? usualDelay : 20;
        for (boolean[] row : cut) {
            java.util.Arrays.fill(row, false);
        }
    }

    private void at(long time, Runnable work) {
        events.add(new Event(time, numbers++, work));
    }

    private void after(long delay, Runnable work) {
        at(now + delay, work);
    }

    private void tell(String text, Object... values) {
        if (telling) {
            account.add(String.format(Locale.ROOT, "%8.1f ms  %s", now / 10.0,
                    String.format(Locale.ROOT, text, values)));
            if (account.size() > LINES) {
                account.removeFirst();
            }
        }
    }

    /** Plays the seed to its end, or to its first violation. */
    public Result run() {
        String violation = null;
        try {
            List<Member> founders = hosts.stream().map(host -> host.member(Member.Role.VOTER)).toList();
            for (Host host : hosts) {
                host.found(founders);
                host.start();
            }
            for (int i = 0; i < 6; i++) {
                clients.add(new Client(i, i > 3));
            }
            after(1_000, this::trouble);
            play(TROUBLED);
            rest();
            play(TROUBLED + CALM);
            end();
        } catch (HistoryChecker.Violation broken) {
            violation = broken.getMessage();
            tell("VIOLATION %s", violation);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return new Result(seed, steps, violation, history.acknowledged(), List.copyOf(account));
    }

    private void play(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            now = event.at;
            steps++;
            event.work.run();
        }
        now = until;
    }

    /** All faults end; what was begun may come to its end. */
    private void rest() {
        troubled = false;
        calmNetwork();
        tell("calm from here on");
        for (Host host : hosts) {
            host.disk.full = false;
            host.slow = false;
            host.revive();
        }
    }

    private void end() {
        if (clients.stream().noneMatch(client -> client.doneAt > TROUBLED)) {
            throw new HistoryChecker.Violation("progress: nothing was agreed after all faults had ended");
        }
        leaders().findFirst().filter(host -> host.engine.raft().applied() == host.engine.raft().commit())
                .ifPresent(host -> history.ends(host.changes));
    }

    private Stream<Host> leaders() {
        return hosts.stream().filter(host -> host.engine != null && host.engine.raft().leads());
    }

    // ---- faults ---------------------------------------------------------------------------------

    private void trouble() {
        if (!troubled) {
            return;
        }
        after(chance.nextLong(50, pace), this::trouble);
        if (theme == Theme.READS && chance.nextInt(10) > 0) {
            disturbReaders();
        } else if (theme == Theme.LEADERS && chance.nextInt(4) > 0) {
            leaders().forEach(Host::crash);
        } else {
            anyFault();
        }
    }

    /** One that hears late is made leader, and then the others hear it late or never. */
    private void disturbReaders() {
        int other = chance.nextInt(hosts.size());
        int fault = chance.nextInt(5);
        if (fault < 2) {
            handOver(far);
        } else if (fault == 2) {
            handOver(other);
        } else if (fault == 3) {
            for (int i = 0; i < hosts.size(); i++) {
                cut[i][far] = true;
                cut[far][i] = true;
            }
            tell("n%d is cut off", far);
            healLater();
        } else {
            cut[far][other] = true;
            tell("one-way cut from n%d to n%d", far, other);
            healLater();
        }
    }

    private void handOver(int to) {
        leaders().findAny().ifPresent(leader -> {
            tell("n%d is asked to hand over to n%d", leader.place, to);
            leader.engine.transfer(0, hosts.get(to).id());
            leader.run();
        });
    }

    private void anyFault() {
        Host host = hosts.get(chance.nextInt(hosts.size()));
        switch (chance.nextInt(15)) {
            case 0, 1 -> host.crash();
            case 2 -> {
                // A leader more often than any.
                leaders().findFirst().ifPresent(Host::crash);
            }
            case 3, 4 -> split();
            case 5 -> {
                int other = chance.nextInt(hosts.size());
                cut[host.place][other] = true;
                healLater();
                tell("one-way cut from n%d to n%d", host.place, other);
            }
            case 6 -> {
                boolean speaks = chance.nextBoolean();
                for (int i = 0; i < hosts.size(); i++) {
                    cut[speaks ? i : host.place][speaks ? host.place : i] = true;
                }
                healLater();
                tell("n%d %s", host.place, speaks ? "hears nothing" : "is not heard");
            }
            case 7 -> {
                loss = chance.nextBoolean() ? 0 : chance.nextDouble(0.3);
                twice = chance.nextBoolean() ? 0 : chance.nextDouble(0.2);
                longest = new long[] {100, 1_000, 3_000, 20_000}[chance.nextInt(4)];
                healLater();
                tell("network loses %.2f, doubles %.2f, delays up to %.1f ms", loss, twice, longest / 10.0);
            }
            case 8 -> {
                calmNetwork();
                tell("network calm");
            }
            case 9 -> host.pause(chance.nextLong(500, 8_000));
            case 10 -> {
                host.slow = !host.slow;
                host.disk.full = chance.nextInt(3) == 0;
                tell("disk of n%d %s%s", host.place, host.slow ? "slow" : "as usual",
                        host.disk.full ? ", full" : "");
                after(chance.nextLong(1_000, 5_000), () -> host.disk.full = false);
            }
            case 11 -> host.wipe();
            case 12 -> removeBehindCut();
            default -> {
                for (int i = chance.nextInt(3); i >= 0; i--) {
                    members(hosts.get(chance.nextInt(hosts.size())));
                }
            }
        }
    }

    private void healLater() {
        after(chance.nextLong(500, 8_000), this::calmNetwork);
    }

    /** A leader is left with one other, and staff ask it to do without the rest. */
    private void removeBehindCut() {
        Host leader = leaders().findAny().orElse(hosts.get(0));
        Host other = hosts.get((leader.place + 1) % hosts.size());
        for (int i = 0; i < hosts.size(); i++) {
            boolean inside = i == leader.place || i == other.place;
            cut[i][leader.place] = !inside;
            cut[leader.place][i] = !inside;
            cut[i][other.place] = !inside;
            cut[other.place][i] = !inside;
        }
        tell("n%d and n%d are cut from the rest", leader.place, other.place);
        healLater();
        for (Host host : hosts) {
            if (host != leader && host != other && leader.engine != null
                    && leader.engine.raft().members().voters() > 3) {
                leader.engine.member(0, host.member(Member.Role.VOTER), true);
                leader.run();
            }
        }
    }

    private void split() {
        healLater();
        int side = chance.nextInt(1, 1 << hosts.size());
        for (int i = 0; i < hosts.size(); i++) {
            for (int j = 0; j < hosts.size(); j++) {
                cut[i][j] = (side >> i & 1) != (side >> j & 1);
            }
        }
        tell("network split, sides %s", Integer.toBinaryString(side));
    }

    /** Staff change members: whoever leads removes, adds, takes a vote away, or hands over. */
    private void members(Host host) {
        leaders().findAny().ifPresent(leader -> {
            Raft raft = leader.engine.raft();
            Member stale = raft.members().all().stream().filter(member -> hosts.stream()
                    .noneMatch(other -> other.id() == member.id())).findFirst().orElse(null);
            if (stale != null) {
                tell("n%d is asked to remove %s", leader.place, stale.name());
                leader.engine.member(0, stale, true);
            } else if (raft.members().get(host.id()) == null) {
                tell("n%d is asked to add n%d", leader.place, host.place);
                leader.engine.member(0, host.member(Member.Role.JOINING), false);
            } else if (chance.nextInt(3) > 0) {
                handOver(host.place);
            } else if (raft.members().voters() > 2) {
                tell("n%d is asked to remove n%d", leader.place, host.place);
                leader.engine.member(0, host.member(Member.Role.VOTER), true);
            }
            leader.run();
        });
    }

    // ---- a member and its machine ---------------------------------------------------------------

    private final class Host implements Engine.Surroundings, Sessions.Machine {
        final int place;
        final SimDisk disk = new SimDisk(chance);
        final double rate;
        final long offset;
        List<Long> changes = new ArrayList<>();
        DurableLog log;
        Engine engine;
        /** Rises with each start, so that what was under way before means nothing any more. */
        int life;
        boolean slow;
        long pausedUntil;
        /** What came while it stands still. */
        private final ArrayDeque<Runnable> inbox = new ArrayDeque<>();
        long agreedUpTo;
        private long ledIn;
        private long number = FaultInjection.number(chance);
        private Runnable diskWork;
        private final ArrayDeque<Runnable> diskQueue = new ArrayDeque<>();

        Host(int place) {
            this.place = place;
            rate = 1 + injection.clocksApart() * (2 * chance.nextDouble() - 1);
            offset = chance.nextLong(1_000_000);
            disk.skipsSync = injection.skipsSync();
        }

        long id() {
            return number;
        }

        Member member(Member.Role role) {
            return new Member(number, "n" + place, "n" + place, role);
        }

        /** Where the seed is rigid, all wait nearly alike, and elections meet. */
        private RandomGenerator timers() {
            RandomGenerator even = new SplittableRandom(chance.nextLong());
            return !rigid ? even : new RandomGenerator() {
                @Override
                public long nextLong() {
                    return even.nextLong();
                }

                @Override
                public long nextLong(long bound) {
                    return even.nextLong(bound) / 16;
                }
            };
        }

        long clock() {
            return offset + (long) (now * rate);
        }

        void found(List<Member> founders) throws IOException {
            DurableLog fresh = new DurableLog(disk, line -> tell("n%d %s", place, line));
            fresh.open(number);
            fresh.found(1, founders);
        }

        void start() {
            try {
                log = new DurableLog(disk, line -> tell("n%d %s", place, line));
                DurableLog.Recovered found = log.open(number);
                changes = new ArrayList<>();
                life++;
                engine = new Engine(found, timing, injection.rules(), timers(), clock(), this,
                        new Engine.Compaction(40, 1 << 20), this);
                List<Sessions.Session> kept = injection.recovered(engine.sessions().sessions());
                engine.sessions().restore(kept, image());
                agreedUpTo = found.snapshot().index();
                if (found.snapshot().index() > 0) {
                    history.state(found.snapshot().index(), state());
                }
                tell("n%d starts with %d entries, %s", place, engine.raft().log().last(), found.ballot());
            } catch (UnrecoverableStorageException refused) {
                throw new HistoryChecker.Violation(
                        "recovery: n" + place + " refused its own disk: " + refused.getMessage());
            } catch (IOException full) {
                tell("n%d can't start: %s", place, full.getMessage());
                after(1_000, this::revive);
                return;
            }
            diskQueue.clear();
            diskWork = null;
            tick(life);
        }

        private void tick(int of) {
            if (of == life && engine != null) {
                enter(() -> {});
                after(TICK + chance.nextLong(20), () -> tick(of));
            }
        }

        /** Has the member take something in, unless it stands still: then it does as it wakes. */
        void enter(Runnable input) {
            if (engine == null) {
                return;
            } else if (now < pausedUntil) {
                inbox.add(input);
                return;
            }
            engine.tick(clock());
            input.run();
            run();
        }

        void run() {
            engine.run();
            Raft raft = engine.raft();
            if (raft.leads()) {
                history.leads(raft);
                if (ledIn != raft.term()) {
                    ledIn = raft.term();
                    dieYoung(life);
                }
            }
            if (raft.commit() > agreedUpTo) {
                history.agreed(raft, agreedUpTo, raft.commit());
                agreedUpTo = raft.commit();
            }
        }

        /** Where leaders are the theme, most end while their first entries are on the way. */
        private void dieYoung(int of) {
            if (theme == Theme.LEADERS && troubled && chance.nextInt(4) > 0) {
                after(10 + chance.nextLong(3 * usualDelay), () -> {
                    if (of == life) {
                        crash();
                    }
                });
            }
        }

        void crash() {
            if (engine == null) {
                return;
            }
            tell("n%d crashes", place);
            if (diskWork != null && chance.nextBoolean()) {
                disk.crashIn = chance.nextInt(6);
                diskWork.run();
            }
            engine = null;
            life++;
            pausedUntil = now;
            inbox.clear();
            disk.crash();
            after(chance.nextBoolean() ? chance.nextLong(5, 300) : chance.nextLong(100, 10_000),
                    this::revive);
        }

        private void revive() {
            if (engine == null) {
                start();
            }
        }

        void pause(long span) {
            tell("n%d stands still for %.1f ms", place, span / 10.0);
            pausedUntil = Math.max(pausedUntil, now + span);
            int of = life;
            at(pausedUntil, () -> {
                while (of == life && now >= pausedUntil && !inbox.isEmpty()) {
                    enter(inbox.remove());
                }
            });
        }

        /** Loses the disk, if all others that vote are there. */
        void wipe() {
            boolean others = hosts.stream()
                    .allMatch(other -> other.engine != null && other.engine.raft().members().votes(
                            other.id()) && other.engine.raft().members().voters() == hosts.size());
            if (others) {
                tell("n%d loses its disk", place);
                crash();
                disk.wipe();
                number = injection.numberAfterWipe(number, chance);
            }
        }

        // ---- what surrounds it ----

        @Override
        public void send(Message message) {
            Message sent = message;
            try {
                sent = encoding ? Codec.message(Codec.message(message)) : message;
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
            Host to = hosts.stream().filter(host -> host.id() == message.to()).findFirst().orElse(null);
            if (to == null || cut[place][to.place] || chance.nextDouble() < loss) {
                return;
            }
            int copies = chance.nextDouble() < twice ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                Message each = sent;
                // What a crash meets in a buffer never leaves; what is on the way arrives.
                int of = life;
                boolean buffered = chance.nextBoolean();
                long late = troubled && to.place == far ? 600 + chance.nextLong(600) : 0;
                after(2 + late + chance.nextLong(longest), () -> {
                    if (to.id() == each.to() && (of == life || !buffered)) {
                        if (!(each instanceof Message.Append append && append.entries().isEmpty())) {
                            tell("n%d -> n%d %s", place, to.place, each);
                        }
                        to.enter(() -> to.engine.receive(each));
                    }
                });
            }
        }

        /** The disk does one thing after the other, each after a while. */
        private void queue(Runnable work) {
            diskQueue.add(work);
            if (diskWork == null) {
                next(life);
            }
        }

        private void next(int of) {
            diskWork = diskQueue.poll();
            if (diskWork != null) {
                after(slow || troubled && place == sluggish ? chance.nextLong(3_000)
                        : 2 + chance.nextLong(20), () -> {
                            if (of == life) {
                                Runnable work = diskWork;
                                work.run();
                                if (of == life) {
                                    next(of);
                                }
                            }
                        });
            }
        }

        @Override
        public void save(long ticket, Ballot ballot, long from, List<Entry> entries, Snapshot snapshot) {
            if (!entries.isEmpty()) {
                history.written(entries, engine.raft().log().term(from - 1));
            }
            Ballot kept = injection.saved(ballot);
            queue(() -> trySave(life, ticket, kept, from, entries, snapshot));
        }

        private void trySave(int of, long ticket, Ballot ballot, long from, List<Entry> entries,
                Snapshot snapshot) {
            if (of != life) {
                return;
            }
            try {
                log.save(ballot, from, entries, snapshot);
                enter(() -> {
                    engine.disk(true);
                    engine.saved(ticket);
                });
            } catch (SimDisk.Crashed crashed) {
                // It ends here.
            } catch (IOException full) {
                tell("n%d can't save: %s", place, full.getMessage());
                enter(() -> engine.disk(false));
                diskQueue.addFirst(() -> trySave(of, ticket, ballot, from, entries, snapshot));
            }
        }

        @Override
        public void keep(Snapshot snapshot) {
            queue(() -> {
                try {
                    log.keep(snapshot);
                    enter(() -> engine.kept(snapshot));
                } catch (SimDisk.Crashed crashed) {
                    // It ends here.
                } catch (IOException full) {
                    enter(() -> engine.kept(null));
                }
            });
        }

        @Override
        public void answer(long request, Engine.Answer answer) {
            for (Client client : clients) {
                client.answered(request, answer, this);
            }
        }

        @Override
        public void applied(Entry entry, Sessions.Outcome outcome) {
            history.applied(entry, state());
        }

        @Override
        public void restored(long index) {
            history.state(index, state());
            agreedUpTo = Math.max(agreedUpTo, index);
        }

        @Override
        public void log(String line) {
            tell("n%d %s", place, line);
        }

        // ---- its machine: the list of all changes ----

        private int state() {
            return changes.hashCode();
        }

        @Override
        public byte[] apply(long index, byte[] change) {
            long number = ByteBuffer.wrap(change).getLong();
            history.effect(number, changes.size());
            changes.add(number);
            return ByteBuffer.allocate(4).putInt(changes.size() - 1).array();
        }

        @Override
        public byte[] image() {
            ByteBuffer image = ByteBuffer.allocate(changes.size() * 8);
            changes.forEach(image::putLong);
            return image.array();
        }

        @Override
        public void restore(byte[] image) {
            changes = read(image);
        }
    }

    private static List<Long> read(byte[] image) {
        List<Long> changes = new ArrayList<>();
        for (ByteBuffer rest = ByteBuffer.wrap(image); rest.hasRemaining();) {
            changes.add(rest.getLong());
        }
        return changes;
    }

    // ---- a client -------------------------------------------------------------------------------

    /**
     * Asks for one thing at a time, and again elsewhere, under the same serial, until it is told. One that
     * only watches reads wherever it comes, and so from who no longer leads.
     */
    private final class Client {
        private final long patience;

        final int number;
        private final boolean watches;
        private long session;
        private boolean opened;
        private long serial;
        private long change;
        private boolean reads;
        private int began;
        private long request;
        private Host asked;
        long doneAt;

        Client(int number, boolean watches) {
            this.number = number;
            this.watches = watches;
            patience = watches ? 100 : 600;
            asked = hosts.get(number % hosts.size());
            reopen();
            after(chance.nextLong(500), this::next);
        }

        private void reopen() {
            session = FaultInjection.number(chance);
            opened = false;
            serial = 0;
        }

        /** Begins the next thing to do. */
        private void next() {
            reads = watches || opened && chance.nextInt(3) == 0;
            asked = watches ? hosts.get(chance.nextInt(hosts.size())) : asked;
            began = history.begins();
            change = FaultInjection.number(chance);
            serial += opened && !reads ? 1 : 0;
            ask();
        }

        private void ask() {
            long mine = ++numbers * 10 + number;
            request = mine;
            Host to = asked;
            after(patience, () -> {
                if (request == mine && watches) {
                    next();
                } else if (request == mine) {
                    again(null);
                }
            });
            if (chance.nextDouble() < loss) {
                return;
            }
            long openedSession = session;
            long sentSerial = serial;
            byte[] body = ByteBuffer.allocate(8).putLong(change).array();
            boolean asksToRead = reads;
            boolean asksToOpen = !opened && !reads;
            after(1 + chance.nextLong(20), () -> to.enter(() -> {
                if (asksToOpen) {
                    to.engine.open(mine, openedSession);
                } else if (asksToRead) {
                    to.engine.read(mine);
                } else {
                    to.engine.change(mine, openedSession, sentSerial, body);
                }
            }));
        }

        private void again(String leader) {
            asked = hosts.stream().filter(host -> ("n" + host.place).equals(leader)).findFirst()
                    .orElse(chance.nextInt(3) == 0 ? asked : hosts.get(chance.nextInt(hosts.size())));
            request = 0;
            after(50 + chance.nextLong(400), this::ask);
        }

        void answered(long to, Engine.Answer answer, Host by) {
            if (to == 0 || to % 10 != number || chance.nextDouble() < loss) {
                return;
            }
            after(1 + chance.nextLong(20), () -> {
                if (to == request) {
                    told(answer);
                }
            });
        }

        private void told(Engine.Answer answer) {
            if ("session-unknown".equals(answer.refused())) {
                reopen();
                next();
            } else if (answer.refused() != null && watches) {
                after(10 + chance.nextLong(50), this::next);
            } else if (answer.refused() != null) {
                again(answer.leader());
            } else {
                if (!opened && !reads) {
                    opened = true;
                } else if (reads) {
                    history.read(read(answer.body()), began);
                } else {
                    tell("client %d: change %d acknowledged", number, change);
                    history.wrote(change, ByteBuffer.wrap(answer.body()).getInt(), began);
                }
                doneAt = now;
                request = 0;
                after(10 + chance.nextLong(watches ? 30 : 400), this::next);
            }
        }
    }
}
