package rockshift.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import rockshift.model.Ticks;
import rockshift.raft.Member;

/**
 * A deterministic simulation of hosts, disks, a network and clients, driven by one seed. The
 * members run the production code; the environment injects more faults than occur in practice. A
 * {@link HistoryChecker} checks every event against the invariants.
 *
 * <p>Single-threaded; different seeds may run on different threads. Times are ticks of 100 us.
 */
public final class SimulatedCluster {
    private static final long FAULT_PHASE_TICKS = 90_000;

    /** The time that the cluster has to recover after the last fault. */
    private static final long RECOVERY_PHASE_TICKS = 30_000;

    private static final long FIRST_FAULT_TICKS = 1_000;
    private static final long HEALED_DELAY_TICKS = 20;
    private static final int CLIENTS = 6;
    private static final int WRITING_CLIENTS = 4;
    private static final int MAX_TRACE_LINES = 4_000;

    private record Event(long atTicks, long sequenceNumber, Runnable action) {}

    /**
     * The result of a run.
     *
     * @param violation the description of the violated invariant, or null if there is none
     * @param trace the recorded events, empty unless tracing is on
     */
    public record Result(
            long seed, long steps, String violation, int acknowledgedChanges, List<String> trace) {}

    private final long seed;
    private final RandomGenerator random;
    private final FaultInjection injection;
    private final boolean tracing;
    private final SeedProfile profile;
    private final FaultyNetwork network;
    private final HistoryChecker history = new HistoryChecker();
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final List<SimulatedClient> clients = new ArrayList<>();
    private final ArrayDeque<String> trace = new ArrayDeque<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atTicks)
                            .thenComparingLong(Event::sequenceNumber));
    private long nowTicks;
    private long steps;
    private long lastSequenceNumber;
    private boolean inFaultPhase = true;

    /**
     * Creates a simulation that has not started.
     *
     * @param injection the faults injected into the members' own code
     * @param tracing whether to record a readable trace of events
     */
    public SimulatedCluster(long seed, int members, FaultInjection injection, boolean tracing) {
        this.seed = seed;
        this.injection = injection;
        this.tracing = tracing;
        random = new SplittableRandom(seed);
        profile = SeedProfile.draw(random, members);
        network = new FaultyNetwork(members);
        healNetwork();
        for (int index = 0; index < members; index++) {
            hosts.add(new SimulatedHost(this, index));
        }
    }

    RandomGenerator random() {
        return random;
    }

    FaultInjection injection() {
        return injection;
    }

    SeedProfile profile() {
        return profile;
    }

    FaultyNetwork network() {
        return network;
    }

    HistoryChecker history() {
        return history;
    }

    List<SimulatedHost> hosts() {
        return hosts;
    }

    List<SimulatedClient> clients() {
        return clients;
    }

    /** The hosts whose member believes that it is the leader. */
    Stream<SimulatedHost> leaders() {
        return hosts.stream()
                .filter(host -> host.engine() != null && host.engine().raft().isLeader());
    }

    long nowTicks() {
        return nowTicks;
    }

    /**
     * Returns a number not returned before. Scheduled events take numbers from the same sequence;
     * events of the same time run in that order.
     */
    long nextSequenceNumber() {
        return ++lastSequenceNumber;
    }

    boolean inFaultPhase() {
        return inFaultPhase;
    }

    /** Whether most leaders crash while their first entries are in flight. */
    boolean crashesLeaders() {
        return profile.focus() == SeedProfile.Focus.LEADERS && inFaultPhase;
    }

    boolean hasDelayedMessages(int member) {
        return inFaultPhase && member == profile.laggingMember();
    }

    boolean hasDelayedWrites(int member) {
        return inFaultPhase && member == profile.slowDiskMember();
    }

    /** Ends all network faults. */
    void healNetwork() {
        network.heal(inFaultPhase ? profile.usualDelayTicks() : HEALED_DELAY_TICKS);
    }

    void at(long timeTicks, Runnable action) {
        events.add(new Event(timeTicks, lastSequenceNumber++, action));
    }

    void after(long delayTicks, Runnable action) {
        at(nowTicks + delayTicks, action);
    }

    /** Records a line of the trace if tracing is on. */
    void trace(String text, Object... values) {
        if (tracing) {
            trace.add(
                    String.format(
                            Locale.ROOT,
                            "%8.1f ms  %s",
                            nowTicks / (double) Ticks.TICKS_PER_MILLI,
                            String.format(Locale.ROOT, text, values)));
            if (trace.size() > MAX_TRACE_LINES) {
                trace.removeFirst();
            }
        }
    }

    /** Runs the simulation to its end or to the first violation. */
    public Result run() {
        String violation = null;
        try {
            start();
            runUntil(FAULT_PHASE_TICKS);
            endFaults();
            runUntil(FAULT_PHASE_TICKS + RECOVERY_PHASE_TICKS);
            checkFinalState();
        } catch (HistoryChecker.Violation found) {
            violation = found.getMessage();
            trace("VIOLATION %s", violation);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return new Result(seed, steps, violation, history.acknowledged(), List.copyOf(trace));
    }

    private void start() throws IOException {
        List<Member> founders = hosts.stream().map(host -> host.member(Member.Role.VOTER)).toList();
        for (SimulatedHost host : hosts) {
            host.bootstrap(founders);
            host.start();
        }
        for (int number = 0; number < CLIENTS; number++) {
            clients.add(new SimulatedClient(this, number, number >= WRITING_CLIENTS));
        }
        after(FIRST_FAULT_TICKS, new ClusterFaults(this)::injectNext);
    }

    private void runUntil(long endTicks) {
        while (!events.isEmpty() && events.peek().atTicks <= endTicks) {
            Event event = events.poll();
            nowTicks = event.atTicks;
            steps++;
            event.action.run();
        }
        nowTicks = endTicks;
    }

    /** Ends all faults. Operations in progress may complete. */
    private void endFaults() {
        inFaultPhase = false;
        healNetwork();
        trace("all faults end");
        hosts.forEach(SimulatedHost::repair);
    }

    private void checkFinalState() {
        if (clients.stream()
                .noneMatch(client -> client.lastCompletedAtTicks() > FAULT_PHASE_TICKS)) {
            throw new HistoryChecker.Violation(
                    "progress: no client operation completed after all faults had ended");
        }
        leaders()
                .findFirst()
                .filter(SimulatedHost::hasAppliedAllCommitted)
                .ifPresent(host -> history.checkFinalState(host.changes()));
    }
}
