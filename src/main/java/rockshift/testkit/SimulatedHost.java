package rockshift.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import rockshift.cluster.Engine;
import rockshift.model.Ticks;
import rockshift.raft.ClientSessions;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Message;
import rockshift.raft.RaftNode;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;
import rockshift.storage.DurableLog;
import rockshift.storage.UnrecoverableStorageException;
import rockshift.wire.MessageCodec;

/**
 * A simulated host that runs one cluster member, with its disk, clock, incoming messages and
 * faults. The member's state machine is a {@link ChangeList}. Single-threaded, in simulated time.
 */
final class SimulatedHost implements Engine.Environment {
    /** The minimum time between two scheduled calls of {@link Engine#tick}, in ticks. */
    private static final long TICK_INTERVAL_TICKS = 150;

    private final SimulatedCluster cluster;
    private final RandomGenerator random;
    private final HistoryChecker history;
    private final FaultInjection injection;
    private final int index;
    private final SimulatedDisk disk;
    private final double clockRate;
    private final long clockOffsetTicks;
    private ChangeList stateMachine;
    private DurableLog log;
    private Engine engine;

    /** Incremented at each start and crash, so that tasks scheduled earlier are dropped. */
    private int incarnation;

    private boolean slowDisk;
    private long pausedUntilTicks;

    /** Inputs received while the host was paused. */
    private final ArrayDeque<Runnable> pendingInputs = new ArrayDeque<>();

    private long checkedCommitIndex;
    private long lastLedTerm;
    private long memberId;
    private Runnable currentDiskTask;
    private final ArrayDeque<Runnable> diskTasks = new ArrayDeque<>();

    SimulatedHost(SimulatedCluster cluster, int index) {
        this.cluster = cluster;
        this.index = index;
        random = cluster.random();
        history = cluster.history();
        stateMachine = new ChangeList(history);
        injection = cluster.injection();
        disk = new SimulatedDisk(random);
        memberId = FaultInjection.randomId(random);
        clockRate = 1 + injection.maxClockDrift() * (2 * random.nextDouble() - 1);
        clockOffsetTicks = random.nextLong(1_000_000);
        disk.setSkipsSync(injection.skipsSync());
    }

    /** The member's ID in the cluster, which changes when the disk is wiped. */
    long id() {
        return memberId;
    }

    /** The position in the cluster's list of hosts. */
    int index() {
        return index;
    }

    SimulatedDisk disk() {
        return disk;
    }

    /** The running member, or null while it is down. */
    Engine engine() {
        return engine;
    }

    /** The changes that the state machine has applied. */
    List<Long> changes() {
        return stateMachine.changes();
    }

    boolean hasAppliedAllCommitted() {
        return engine.raft().appliedIndex() == engine.raft().commitIndex();
    }

    boolean hasSlowDisk() {
        return slowDisk;
    }

    void toggleSlowDisk() {
        slowDisk = !slowDisk;
    }

    /** Ends all faults of the host and starts the member if it is down. */
    void repair() {
        disk.setFull(false);
        slowDisk = false;
        revive();
    }

    Member member(Member.Role role) {
        return new Member(memberId, "n" + index, "n" + index, role);
    }

    /**
     * Returns the source of randomness for election timeouts. With aligned timers, all draws are
     * nearly equal, so that elections collide.
     */
    private RandomGenerator timerRandom() {
        RandomGenerator uniform = new SplittableRandom(random.nextLong());
        return !cluster.profile().alignedTimers()
                ? uniform
                : new RandomGenerator() {
                    @Override
                    public long nextLong() {
                        return uniform.nextLong();
                    }

                    @Override
                    public long nextLong(long bound) {
                        return uniform.nextLong(bound) / 16;
                    }
                };
    }

    long clock() {
        return clockOffsetTicks + (long) (cluster.nowTicks() * clockRate);
    }

    void bootstrap(List<Member> founders) throws IOException {
        DurableLog newLog = new DurableLog(disk, line -> cluster.trace("n%d %s", index, line));
        newLog.open(memberId);
        newLog.joinCluster(1, founders);
    }

    void start() {
        try {
            log = new DurableLog(disk, line -> cluster.trace("n%d %s", index, line));
            DurableLog.Recovered recovered = log.open(memberId);
            stateMachine = new ChangeList(history);
            incarnation++;
            engine =
                    new Engine(
                            recovered,
                            cluster.profile().timing(),
                            injection.rules(),
                            timerRandom(),
                            clock(),
                            stateMachine,
                            new Engine.Compaction(40, 1 << 20),
                            this);
            List<ClientSessions.Session> sessions =
                    injection.recoveredSessions(engine.sessions().sessions());
            engine.sessions().restore(sessions, stateMachine.snapshot());
            checkedCommitIndex = recovered.snapshot().index();
            if (recovered.snapshot().index() > 0) {
                history.checkState(recovered.snapshot().index(), stateMachine.stateHash());
            }
            cluster.trace(
                    "n%d starts with %d entries, %s",
                    index, engine.raft().log().lastIndex(), recovered.termAndVote());
        } catch (UnrecoverableStorageException failure) {
            throw new HistoryChecker.Violation(
                    "recovery: n" + index + " cannot recover its disk: " + failure.getMessage());
        } catch (IOException failure) {
            cluster.trace("n%d cannot start: %s", index, failure.getMessage());
            cluster.after(1_000, this::revive);
            return;
        }
        diskTasks.clear();
        currentDiskTask = null;
        tick(incarnation);
    }

    private void tick(int startedIncarnation) {
        if (startedIncarnation == incarnation && engine != null) {
            handle(() -> {});
            cluster.after(
                    TICK_INTERVAL_TICKS + random.nextLong(20), () -> tick(startedIncarnation));
        }
    }

    /** Passes an input to the member, or queues it until the pause is over. */
    void handle(Runnable input) {
        if (engine == null) {
            return;
        } else if (cluster.nowTicks() < pausedUntilTicks) {
            pendingInputs.add(input);
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
            history.checkLeader(raft);
            if (lastLedTerm != raft.term()) {
                lastLedTerm = raft.term();
                maybeCrashSoon(incarnation);
            }
        }
        if (raft.commitIndex() > checkedCommitIndex) {
            history.checkCommitted(raft, checkedCommitIndex, raft.commitIndex());
            checkedCommitIndex = raft.commitIndex();
        }
    }

    /** If the cluster crashes leaders, crashes most while their first entries are in flight. */
    private void maybeCrashSoon(int startedIncarnation) {
        if (cluster.crashesLeaders() && random.nextInt(4) > 0) {
            cluster.after(
                    10 + random.nextLong(3 * cluster.profile().usualDelayTicks()),
                    () -> {
                        if (startedIncarnation == incarnation) {
                            crash();
                        }
                    });
        }
    }

    void crash() {
        if (engine == null) {
            return;
        }
        cluster.trace("n%d crashes", index);
        if (currentDiskTask != null && random.nextBoolean()) {
            disk.crashAfter(random.nextInt(6));
            currentDiskTask.run();
        }
        engine = null;
        incarnation++;
        pausedUntilTicks = cluster.nowTicks();
        pendingInputs.clear();
        disk.crash();
        cluster.after(
                random.nextBoolean() ? random.nextLong(5, 300) : random.nextLong(100, 10_000),
                this::revive);
    }

    void revive() {
        if (engine == null) {
            start();
        }
    }

    void pause(long durationTicks) {
        cluster.trace(
                "n%d is paused for %.1f ms", index, durationTicks / (double) Ticks.TICKS_PER_MILLI);
        pausedUntilTicks = Math.max(pausedUntilTicks, cluster.nowTicks() + durationTicks);
        int startedIncarnation = incarnation;
        cluster.at(
                pausedUntilTicks,
                () -> {
                    while (startedIncarnation == incarnation
                            && cluster.nowTicks() >= pausedUntilTicks
                            && !pendingInputs.isEmpty()) {
                        handle(pendingInputs.remove());
                    }
                });
    }

    /**
     * Crashes the member and wipes its disk, if all hosts are up and see every host as a voter, so
     * that the cluster can tolerate the loss.
     */
    void wipe() {
        if (cluster.hosts().stream().allMatch(SimulatedHost::seesAllHostsAsVoters)) {
            cluster.trace("disk of n%d is wiped", index);
            crash();
            disk.wipe();
            memberId = injection.memberIdAfterWipe(memberId, random);
        }
    }

    private boolean seesAllHostsAsVoters() {
        if (engine == null) {
            return false;
        }
        Membership membership = engine.raft().membership();
        return membership.isVoter(id()) && membership.voterCount() == cluster.hosts().size();
    }

    @Override
    public void send(Message message) {
        Message sent = cluster.profile().encodesMessages() ? encodedAndDecoded(message) : message;
        SimulatedHost target =
                cluster.hosts().stream()
                        .filter(host -> host.id() == message.to())
                        .findFirst()
                        .orElse(null);
        if (target == null || cluster.network().loses(index, target.index, random)) {
            return;
        }
        int copies = cluster.network().duplicates(random) ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            sendCopy(target, sent);
        }
    }

    private static Message encodedAndDecoded(Message message) {
        try {
            return MessageCodec.decode(MessageCodec.encode(message));
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /**
     * Sends a copy; a crash of the sender loses it if it is buffered, but not if it is in flight.
     */
    private void sendCopy(SimulatedHost target, Message message) {
        int sentIncarnation = incarnation;
        boolean buffered = random.nextBoolean();
        long lagTicks = cluster.hasDelayedMessages(target.index) ? 600 + random.nextLong(600) : 0;
        cluster.after(
                2 + lagTicks + random.nextLong(cluster.network().maxDelayTicks()),
                () -> {
                    if (target.id() == message.to()
                            && (sentIncarnation == incarnation || !buffered)) {
                        deliver(target, message);
                    }
                });
    }

    private void deliver(SimulatedHost target, Message message) {
        boolean heartbeat =
                message instanceof Message.AppendRequest append && append.entries().isEmpty();
        if (!heartbeat) {
            cluster.trace("n%d -> n%d %s", index, target.index, message);
        }
        target.handle(() -> target.engine.receive(message));
    }

    /** Queues a disk task. Tasks run one at a time, each after a simulated delay. */
    private void enqueueDiskTask(Runnable task) {
        diskTasks.add(task);
        if (currentDiskTask == null) {
            runNextDiskTask(incarnation);
        }
    }

    private void runNextDiskTask(int startedIncarnation) {
        currentDiskTask = diskTasks.poll();
        if (currentDiskTask != null) {
            cluster.after(
                    slowDisk || cluster.hasDelayedWrites(index)
                            ? random.nextLong(3_000)
                            : 2 + random.nextLong(20),
                    () -> {
                        if (startedIncarnation == incarnation) {
                            Runnable task = currentDiskTask;
                            task.run();
                            if (startedIncarnation == incarnation) {
                                runNextDiskTask(startedIncarnation);
                            }
                        }
                    });
        }
    }

    @Override
    public void save(
            long writeNumber, TermAndVote vote, long from, List<Entry> entries, Snapshot snapshot) {
        if (!entries.isEmpty()) {
            history.checkWritten(entries, engine.raft().log().term(from - 1));
        }
        TermAndVote persisted = injection.persistedVote(vote);
        enqueueDiskTask(
                () -> trySave(incarnation, writeNumber, persisted, from, entries, snapshot));
    }

    private void trySave(
            int startedIncarnation,
            long writeNumber,
            TermAndVote vote,
            long from,
            List<Entry> entries,
            Snapshot snapshot) {
        if (startedIncarnation != incarnation) {
            return;
        }
        try {
            log.save(vote, entries, snapshot);
            handle(
                    () -> {
                        engine.diskStatusChanged(true);
                        engine.writeCompleted(writeNumber);
                    });
        } catch (SimulatedDisk.Crashed crashed) {
            // The host has crashed: nothing more is saved.
        } catch (IOException failure) {
            cluster.trace("n%d cannot save: %s", index, failure.getMessage());
            handle(() -> engine.diskStatusChanged(false));
            diskTasks.addFirst(
                    () -> trySave(startedIncarnation, writeNumber, vote, from, entries, snapshot));
        }
    }

    @Override
    public void saveSnapshot(Snapshot snapshot) {
        enqueueDiskTask(
                () -> {
                    try {
                        log.saveSnapshot(snapshot);
                        handle(() -> engine.snapshotSaved(snapshot));
                    } catch (SimulatedDisk.Crashed crashed) {
                        // The host has crashed: nothing more is saved.
                    } catch (IOException failure) {
                        handle(() -> engine.snapshotSaved(null));
                    }
                });
    }

    @Override
    public void answer(long request, Engine.Answer answer) {
        for (SimulatedClient client : cluster.clients()) {
            client.onAnswer(request, answer, this);
        }
    }

    @Override
    public void applied(Entry entry, ClientSessions.Outcome outcome) {
        history.checkApplied(entry, stateMachine.stateHash());
    }

    @Override
    public void restored(long index) {
        history.checkState(index, stateMachine.stateHash());
        checkedCommitIndex = Math.max(checkedCommitIndex, index);
    }

    @Override
    public void log(String line) {
        cluster.trace("n%d %s", index, line);
    }
}
