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
 * A fault injection trial with real controller processes, which are killed, paused and partitioned
 * at random while clients propose changes. At the end it compares what each controller applied:
 * every change must be applied once, in the same order everywhere, and a controller in a minority
 * must send proxies only the commands that the rules require.
 *
 * <p>The thread that calls {@link #run} injects the faults; clients and proxies have their own
 * threads, which it starts and ends. Their observations go into a {@link TrialRecord}.
 */
public final class FaultTrial {
    private static final long ELECTION_TIMEOUT_MILLIS = 300;

    /**
     * The time within which an isolated controller must notice it: the delay of the last message
     * received, two election timeouts and a planning round.
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
     * @param lost the number of changes that were acknowledged but not applied
     * @param duplicated the number of changes that were applied more than once
     * @param minorityCommands commands and changes of controllers that must have noticed their
     *     isolation
     * @param commitLatency the latency of changes, in microseconds
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
        /** Whether at least one change was applied and no invariant was violated. */
        public boolean passed() {
            return applied > 0 && lost + duplicated + disordered + minorityCommands == 0;
        }

        /** A one-line summary for the command's output. */
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
     * Creates a trial that has not started.
     *
     * @param folder the folder for the members' data
     * @param progress receives a progress line from time to time
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
                            Locale.ROOT,
                            "%d commands to proxies recorded",
                            record.proxyCommands()));
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
            SplittableRandom proposerRandom = new SplittableRandom(random.nextLong());
            proposers.add(new ChangeProposer(number, addresses, proposerRandom, record));
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
        int member = random.nextInt(members);
        int other = (member + 1 + random.nextInt(members - 1)) % members;
        long durationMillis =
                Math.min(random.nextLong(300, 4_000), Math.max(0, endMillis - nowMillis()));
        faults++;
        switch (random.nextInt(6)) {
            case 0 -> restart(member, durationMillis);
            case 1 -> pause(member, durationMillis);
            case 2 -> isolate(Set.of(member), durationMillis);
            case 3 -> isolate(members > 3 ? Set.of(member, other) : Set.of(other), durationMillis);
            case 4 -> partitionOneWay(member, other, durationMillis);
            default -> disturbLinksFrom(member, durationMillis);
        }
    }

    private void restart(int member, long downMillis) throws IOException, InterruptedException {
        controllers.kill(member);
        TimeUnit.MILLISECONDS.sleep(downMillis);
        controllers.start(member);
    }

    private void pause(int member, long durationMillis) throws IOException, InterruptedException {
        controllers.signal(member, "STOP");
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        controllers.signal(member, "CONT");
    }

    /** Partitions a minority from the other members in both directions. */
    private void isolate(Set<Integer> minority, long durationMillis) throws InterruptedException {
        setPartitioned(minority, true);
        minority.forEach(record::isolated);
        TimeUnit.MILLISECONDS.sleep(durationMillis);
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

    private void partitionOneWay(int from, int to, long durationMillis)
            throws InterruptedException {
        controllers.link(from, to).setPartitioned(true);
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        controllers.link(from, to).setPartitioned(false);
    }

    private void disturbLinksFrom(int member, long durationMillis) throws InterruptedException {
        for (int other = 0; other < members; other++) {
            controllers
                    .link(member, other)
                    .disturb(random.nextDouble(0.4), random.nextDouble(0.2), random.nextInt(20));
        }
        TimeUnit.MILLISECONDS.sleep(durationMillis);
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

    /** Waits until all members have applied the same version. */
    private void awaitConvergence() throws InterruptedException {
        long deadlineMillis = nowMillis() + CONVERGENCE_TIMEOUT_MILLIS;
        while (nowMillis() < deadlineMillis) {
            Set<Long> versions = new HashSet<>();
            for (int member = 0; member < members; member++) {
                versions.add(appliedVersion(member));
            }
            if (versions.size() == 1 && !versions.contains(UNKNOWN_VERSION)) {
                // The last log lines may not have been read yet.
                TimeUnit.MILLISECONDS.sleep(500);
                return;
            }
            TimeUnit.MILLISECONDS.sleep(CONVERGENCE_CHECK_MILLIS);
        }
        record.diverged("members did not apply the same version within 60 s");
    }

    private long appliedVersion(int member) {
        String address = controllers.clientAddress(member);
        try (ClusterClient client =
                new ClusterClient(List.of(address), random, STATUS_TIMEOUT_MILLIS)) {
            return client.send(address, ClusterClient.newCall("status")).path("applied").asLong();
        } catch (IOException unanswered) {
            return UNKNOWN_VERSION;
        }
    }
}
