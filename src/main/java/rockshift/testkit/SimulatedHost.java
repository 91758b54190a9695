package rockshift.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import rockshift.cluster.Engine;
import rockshift.raft.ClientSessions;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Message;
import rockshift.raft.RaftNode;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;
import rockshift.storage.DurableLog;
import rockshift.storage.UnrecoverableStorageException;
import rockshift.wire.RaftCodec;

/**
 * A member of a simulated cluster with the machine it runs on: its disk, its clock, what it hears
 * and what it is made to suffer. Its state machine is the list of all changes.
 */
final class SimulatedHost implements Engine.Environment, ClientSessions.StateMachine {
    /** Tenths of a ms between two looks at the clock. */
    private static final long TICK = 150;

    private final SimulatedCluster cluster;
    private final RandomGenerator chance;
    private final HistoryChecker history;
    private final FaultInjection injection;
    final int place;
    final SimulatedDisk disk;
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
    private long number;
    private Runnable diskWork;
    private final ArrayDeque<Runnable> diskQueue = new ArrayDeque<>();

    SimulatedHost(SimulatedCluster cluster, int place) {
        this.cluster = cluster;
        this.place = place;
        chance = cluster.chance;
        history = cluster.history;
        injection = cluster.injection;
        disk = new SimulatedDisk(chance);
        number = FaultInjection.number(chance);
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
        return !cluster.rigid
                ? even
                : new RandomGenerator() {
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
        return offset + (long) (cluster.now() * rate);
    }

    void found(List<Member> founders) throws IOException {
        DurableLog fresh = new DurableLog(disk, line -> cluster.tell("n%d %s", place, line));
        fresh.open(number);
        fresh.joinCluster(1, founders);
    }

    void start() {
        try {
            log = new DurableLog(disk, line -> cluster.tell("n%d %s", place, line));
            DurableLog.Recovered found = log.open(number);
            changes = new ArrayList<>();
            life++;
            engine =
                    new Engine(
                            found,
                            cluster.timing,
                            injection.rules(),
                            timers(),
                            clock(),
                            this,
                            new Engine.Compaction(40, 1 << 20),
                            this);
            List<ClientSessions.Session> kept = injection.recovered(engine.sessions().sessions());
            engine.sessions().restore(kept, snapshot());
            agreedUpTo = found.snapshot().index();
            if (found.snapshot().index() > 0) {
                history.state(found.snapshot().index(), state());
            }
            cluster.tell(
                    "n%d starts with %d entries, %s",
                    place, engine.raft().log().lastIndex(), found.termAndVote());
        } catch (UnrecoverableStorageException refused) {
            throw new HistoryChecker.Violation(
                    "recovery: n" + place + " refused its own disk: " + refused.getMessage());
        } catch (IOException full) {
            cluster.tell("n%d can't start: %s", place, full.getMessage());
            cluster.after(1_000, this::revive);
            return;
        }
        diskQueue.clear();
        diskWork = null;
        tick(life);
    }

    private void tick(int of) {
        if (of == life && engine != null) {
            enter(() -> {});
            cluster.after(TICK + chance.nextLong(20), () -> tick(of));
        }
    }

    /** Has the member take something in, unless it stands still: then it does as it wakes. */
    void enter(Runnable input) {
        if (engine == null) {
            return;
        } else if (cluster.now() < pausedUntil) {
            inbox.add(input);
            return;
        }
        engine.tick(clock());
        input.run();
        run();
    }

    void run() {
        engine.run();
        RaftNode raft = engine.raft();
        if (raft.isLeader()) {
            history.leads(raft);
            if (ledIn != raft.term()) {
                ledIn = raft.term();
                dieYoung(life);
            }
        }
        if (raft.commitIndex() > agreedUpTo) {
            history.agreed(raft, agreedUpTo, raft.commitIndex());
            agreedUpTo = raft.commitIndex();
        }
    }

    /** Where leaders are the theme, most end while their first entries are on the way. */
    private void dieYoung(int of) {
        if (cluster.endsLeaders() && chance.nextInt(4) > 0) {
            cluster.after(
                    10 + chance.nextLong(3 * cluster.usualDelay),
                    () -> {
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
        cluster.tell("n%d crashes", place);
        if (diskWork != null && chance.nextBoolean()) {
            disk.crashIn = chance.nextInt(6);
            diskWork.run();
        }
        engine = null;
        life++;
        pausedUntil = cluster.now();
        inbox.clear();
        disk.crash();
        cluster.after(
                chance.nextBoolean() ? chance.nextLong(5, 300) : chance.nextLong(100, 10_000),
                this::revive);
    }

    void revive() {
        if (engine == null) {
            start();
        }
    }

    void pause(long span) {
        cluster.tell("n%d stands still for %.1f ms", place, span / 10.0);
        pausedUntil = Math.max(pausedUntil, cluster.now() + span);
        int of = life;
        cluster.at(
                pausedUntil,
                () -> {
                    while (of == life && cluster.now() >= pausedUntil && !inbox.isEmpty()) {
                        enter(inbox.remove());
                    }
                });
    }

    /** Loses the disk, if all others that vote are there. */
    void wipe() {
        boolean others =
                cluster.hosts.stream()
                        .allMatch(
                                other ->
                                        other.engine != null
                                                && other.engine
                                                        .raft()
                                                        .membership()
                                                        .isVoter(other.id())
                                                && other.engine.raft().membership().voterCount()
                                                        == cluster.hosts.size());
        if (others) {
            cluster.tell("n%d loses its disk", place);
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
            sent = cluster.encoding ? RaftCodec.message(RaftCodec.message(message)) : message;
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        SimulatedHost to =
                cluster.hosts.stream()
                        .filter(host -> host.id() == message.to())
                        .findFirst()
                        .orElse(null);
        if (to == null || cluster.network.loses(place, to.place, chance)) {
            return;
        }
        int copies = cluster.network.doubles(chance) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            Message each = sent;
            // What a crash meets in a buffer never leaves; what is on the way arrives.
            int of = life;
            boolean buffered = chance.nextBoolean();
            long late = cluster.hearsLate(to.place) ? 600 + chance.nextLong(600) : 0;
            cluster.after(
                    2 + late + chance.nextLong(cluster.network.longest()),
                    () -> {
                        if (to.id() == each.to() && (of == life || !buffered)) {
                            if (!(each instanceof Message.AppendRequest append
                                    && append.entries().isEmpty())) {
                                cluster.tell("n%d -> n%d %s", place, to.place, each);
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
            cluster.after(
                    slow || cluster.savesLate(place)
                            ? chance.nextLong(3_000)
                            : 2 + chance.nextLong(20),
                    () -> {
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
    public void save(
            long ticket, TermAndVote ballot, long from, List<Entry> entries, Snapshot snapshot) {
        if (!entries.isEmpty()) {
            history.written(entries, engine.raft().log().term(from - 1));
        }
        TermAndVote kept = injection.saved(ballot);
        queue(() -> trySave(life, ticket, kept, from, entries, snapshot));
    }

    private void trySave(
            int of,
            long ticket,
            TermAndVote ballot,
            long from,
            List<Entry> entries,
            Snapshot snapshot) {
        if (of != life) {
            return;
        }
        try {
            log.save(ballot, from, entries, snapshot);
            enter(
                    () -> {
                        engine.disk(true);
                        engine.saved(ticket);
                    });
        } catch (SimulatedDisk.Crashed crashed) {
            // It ends here.
        } catch (IOException full) {
            cluster.tell("n%d can't save: %s", place, full.getMessage());
            enter(() -> engine.disk(false));
            diskQueue.addFirst(() -> trySave(of, ticket, ballot, from, entries, snapshot));
        }
    }

    @Override
    public void keep(Snapshot snapshot) {
        queue(
                () -> {
                    try {
                        log.saveSnapshot(snapshot);
                        enter(() -> engine.kept(snapshot));
                    } catch (SimulatedDisk.Crashed crashed) {
                        // It ends here.
                    } catch (IOException full) {
                        enter(() -> engine.kept(null));
                    }
                });
    }

    @Override
    public void answer(long request, Engine.Answer answer) {
        for (SimulatedClient client : cluster.clients) {
            client.answered(request, answer, this);
        }
    }

    @Override
    public void applied(Entry entry, ClientSessions.Outcome outcome) {
        history.applied(entry, state());
    }

    @Override
    public void restored(long index) {
        history.state(index, state());
        agreedUpTo = Math.max(agreedUpTo, index);
    }

    @Override
    public void log(String line) {
        cluster.tell("n%d %s", place, line);
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
    public byte[] snapshot() {
        ByteBuffer image = ByteBuffer.allocate(changes.size() * 8);
        changes.forEach(image::putLong);
        return image.array();
    }

    @Override
    public void restore(byte[] image) {
        changes = changes(image);
    }

    /** The changes that an image of the machine holds. */
    static List<Long> changes(byte[] image) {
        List<Long> changes = new ArrayList<>();
        for (ByteBuffer rest = ByteBuffer.wrap(image); rest.hasRemaining(); ) {
            changes.add(rest.getLong());
        }
        return changes;
    }
}
