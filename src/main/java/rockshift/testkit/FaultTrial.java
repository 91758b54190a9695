package rockshift.testkit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import rockshift.cluster.ClusterClient;

/**
 * Controllers as processes, killed, paused and partitioned at random while clients propose changes;
 * then what each applied is compared. Every change must be there once, in one order, and a
 * controller cut off from most must send proxies nothing but what rules demand.
 *
 * <p>Faults are done by the thread that calls {@link #run}; clients and proxies have threads of
 * their own, which it starts and ends. What they see goes into a {@link TrialRecord}.
 */
public final class FaultTrial {
    private static final long ELECTION_TIMEOUT_MILLIS = 300;

    /**
     * After which a controller that is cut off must know it: the last message it heard, twice an
     * election, and a planning round.
     */
    private static final long ISOLATION_NOTICE_MILLIS = 3 * ELECTION_TIMEOUT_MILLIS;

    private static final int CLIENTS = 4;
    private static final long PROGRESS_INTERVAL_MILLIS = 15_000;
    private static final long JOIN_TIMEOUT_MILLIS = 15_000;
    private static final long CONVERGENCE_TIMEOUT_MILLIS = 60_000;
    private static final long CONVERGENCE_CHECK_MILLIS = 200;
    private static final int STATUS_TIMEOUT_MILLIS = 1_500;
    private static final long UNKNOWN_VERSION = -1;

    /**
     * The result of a trial.
     *
     * @param lost changes that were acknowledged and not applied
     * @param duplicated changes that were applied more than once
     * @param minorityCommands commands and changes of controllers that knew to be cut off
     * @param commitLatency of changes, in microseconds
     */
    public record Outcome(
            int applied,
            int lost,
            int duplicated,
            int disordered,
            int minorityCommands,
            int faults,
            Histogram commitLatency,
            List<String> problems) {
        /** Whether something was applied and nothing went wrong. */
        public boolean passed() {
            return applied > 0 && lost + duplicated + disordered + minorityCommands == 0;
        }

        /** One line for the command's output. */
        public String summary() {
            return "trial: "
                    + applied
                    + " applied, "
                    + lost
                    + " lost, "
                    + duplicated
                    + " twice, "
                    + disordered
                    + " out of order, "
                    + minorityCommands
                    + " minority orders";
        }
    }

    private final int members;
    private final long seconds;
    private final SplittableRandom random;
    private final Consumer<String> progress;
    private final ControllerProcesses controllers;
    private final TrialRecord record;
    private int faults;

    /**
     * A trial that has not begun.
     *
     * @param folder where the members keep their data
     * @param progress hears a line from time to time
     */
    public FaultTrial(Path folder, int members, long seconds, long seed, Consumer<String> progress)
            throws IOException {
        this.members = members;
        this.seconds = seconds;
        this.progress = progress;
        random = new SplittableRandom(seed);
        record = new TrialRecord(members, ISOLATION_NOTICE_MILLIS);
        controllers =
                new ControllerProcesses(
                        folder, members, ELECTION_TIMEOUT_MILLIS + "ms", seed, record::logged);
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Runs the trial to its end. */
    public Outcome run() throws IOException, InterruptedException {
        try (controllers) {
            for (int member = 0; member < members; member++) {
                controllers.start(member);
            }
            List<ChangeProposer> proposers = createProposers();
            List<ProxyTraffic> proxies = createProxies();
            List<Thread> threads = createThreads(proposers, proxies);
            threads.forEach(Thread::start);
            injectFaults();
            heal();
            proposers.forEach(ChangeProposer::stop);
            proxies.forEach(ProxyTraffic::stop);
            for (Thread thread : threads) {
                thread.join(JOIN_TIMEOUT_MILLIS);
            }
            awaitConvergence();
            Outcome outcome = record.outcome(faults);
            progress.accept(
                    String.format(
                            Locale.ROOT, "%d orders to proxies seen", record.proxyCommands()));
            return outcome;
        }
    }

    private List<ChangeProposer> createProposers() {
        List<ChangeProposer> proposers = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            List<String> addresses = new ArrayList<>();
            for (int offset = 0; offset < members; offset++) {
                addresses.add(controllers.clientAddress((number + offset) % members));
            }
            SplittableRandom own = new SplittableRandom(random.nextLong());
            proposers.add(new ChangeProposer(number, addresses, own, record));
        }
        return proposers;
    }

    private List<ProxyTraffic> createProxies() {
        List<ProxyTraffic> proxies = new ArrayList<>();
        for (int member = 0; member < members; member++) {
            proxies.add(new ProxyTraffic(member, controllers, record));
        }
        return proxies;
    }

    private static List<Thread> createThreads(
            List<ChangeProposer> proposers, List<ProxyTraffic> proxies) {
        List<Thread> threads = new ArrayList<>();
        for (ChangeProposer proposer : proposers) {
            threads.add(new Thread(proposer::run, "client " + threads.size()));
        }
        for (ProxyTraffic proxy : proxies) {
            threads.add(new Thread(proxy::run, "proxy " + (threads.size() - proposers.size())));
        }
        threads.forEach(thread -> thread.setDaemon(true));
        return threads;
    }

    // ---- faults ---------------------------------------------------------------------------------

    private void injectFaults() throws IOException, InterruptedException {
        long endMillis = nowMillis() + TimeUnit.SECONDS.toMillis(seconds);
        long lastProgressMillis = nowMillis();
        while (nowMillis() < endMillis) {
            injectFault(endMillis);
            if (nowMillis() > lastProgressMillis + PROGRESS_INTERVAL_MILLIS) {
                lastProgressMillis = nowMillis();
                progress.accept(
                        record.applied()
                                + " applied, "
                                + faults
                                + " faults, "
                                + TimeUnit.MILLISECONDS.toSeconds(endMillis - nowMillis())
                                + " s left");
            }
        }
    }

    private void injectFault(long endMillis) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(random.nextLong(200, 1_500));
        int one = random.nextInt(members);
        int other = (one + 1 + random.nextInt(members - 1)) % members;
        long lastsMillis =
                Math.min(random.nextLong(300, 4_000), Math.max(0, endMillis - nowMillis()));
        faults++;
        switch (random.nextInt(6)) {
            case 0 -> restart(one, lastsMillis);
            case 1 -> pause(one, lastsMillis);
            case 2 -> isolate(Set.of(one), lastsMillis);
            case 3 -> isolate(members > 3 ? Set.of(one, other) : Set.of(other), lastsMillis);
            case 4 -> partitionOneWay(one, other, lastsMillis);
            default -> disturbLinksFrom(one, lastsMillis);
        }
    }

    private void restart(int member, long downMillis) throws IOException, InterruptedException {
        controllers.kill(member);
        TimeUnit.MILLISECONDS.sleep(downMillis);
        controllers.start(member);
    }

    private void pause(int member, long lastsMillis) throws IOException, InterruptedException {
        controllers.signal(member, "STOP");
        TimeUnit.MILLISECONDS.sleep(lastsMillis);
        controllers.signal(member, "CONT");
    }

    /** Cuts fewer than half off from the rest, both ways. */
    private void isolate(Set<Integer> minority, long lastsMillis) throws InterruptedException {
        setPartitioned(minority, true);
        minority.forEach(record::isolated);
        TimeUnit.MILLISECONDS.sleep(lastsMillis);
        minority.forEach(record::reconnected);
        setPartitioned(minority, false);
    }

    private void setPartitioned(Set<Integer> minority, boolean partitioned) {
        for (int from = 0; from < members; from++) {
            for (int to = 0; to < members; to++) {
                if (minority.contains(from) != minority.contains(to)) {
                    controllers.link(from, to).setPartitioned(partitioned);
                }
            }
        }
    }

    private void partitionOneWay(int from, int to, long lastsMillis) throws InterruptedException {
        controllers.link(from, to).setPartitioned(true);
        TimeUnit.MILLISECONDS.sleep(lastsMillis);
        controllers.link(from, to).setPartitioned(false);
    }

    private void disturbLinksFrom(int member, long lastsMillis) throws InterruptedException {
        for (int other = 0; other < members; other++) {
            controllers
                    .link(member, other)
                    .disturb(random.nextDouble(0.4), random.nextDouble(0.2), random.nextInt(20));
        }
        TimeUnit.MILLISECONDS.sleep(lastsMillis);
        for (int other = 0; other < members; other++) {
            controllers.link(member, other).disturb(0, 0, 0);
        }
    }

    private void heal() throws IOException, InterruptedException {
        setPartitioned(Set.of(), false);
        for (int member = 0; member < members; member++) {
            if (!controllers.isRunning(member)) {
                controllers.start(member);
            }
        }
    }

    // ---- the end --------------------------------------------------------------------------------

    /** Waits until all members have applied the same. */
    private void awaitConvergence() throws InterruptedException {
        long deadlineMillis = nowMillis() + CONVERGENCE_TIMEOUT_MILLIS;
        while (nowMillis() < deadlineMillis) {
            Set<Long> versions = new HashSet<>();
            for (int member = 0; member < members; member++) {
                versions.add(appliedVersion(member));
            }
            if (versions.size() == 1 && !versions.contains(UNKNOWN_VERSION)) {
                // Their last log lines are on the way.
                TimeUnit.MILLISECONDS.sleep(500);
                return;
            }
            TimeUnit.MILLISECONDS.sleep(CONVERGENCE_CHECK_MILLIS);
        }
        record.diverged("members did not come to the same entry within 60 s");
    }

    private long appliedVersion(int member) {
        String address = controllers.clientAddress(member);
        try (ClusterClient client =
                new ClusterClient(List.of(address), random, STATUS_TIMEOUT_MILLIS)) {
            return client.ask(address, ClusterClient.call("status")).path("applied").asLong();
        } catch (IOException busy) {
            return UNKNOWN_VERSION;
        }
    }
}
