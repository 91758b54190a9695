package rockshift.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.model.Ticks;
import rockshift.raft.ClientSessions;
import rockshift.raft.Entry;
import rockshift.raft.Message;
import rockshift.raft.SafetyRules;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;
import rockshift.storage.DurableLog;
import rockshift.storage.FileDisk;
import rockshift.wire.Hello;
import rockshift.wire.MessageCodec;

/**
 * A running member of the cluster. It creates the member's components, and starts and stops their
 * threads.
 *
 * <p>The member's thread owns the engine and everything that depends on its state. In each
 * iteration it passes the time and a batch of inputs to the engine, and then runs the engine. The
 * threads of the disk and the reactor pass their inputs through {@link MemberInputs}. {@link
 * #start}, {@link #close} and the getters may be called by any thread.
 */
public final class ClusterMember implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterMember.class);

    /** How long the member's thread waits for an input before it reads the clock again. */
    private static final long MAX_WAIT_MS = 10;

    /**
     * Interval at which the hello is repeated. Frames may be dropped, and a peer that has missed
     * the hello of a new cluster drops all messages of that cluster.
     */
    private static final long HELLO_INTERVAL_MS = 1_000;

    /** How long {@link #close} waits for each thread to end. */
    private static final long STOP_TIMEOUT_MS = 500;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ClusterSettings settings;
    private final AgreedState agreed = new AgreedState();
    private final FileDisk disk;
    private final DurableLog log;
    private final DistributionService distribution;
    private final MemberConnections connections;
    private final Engine engine;
    private final MemberInputs inputs = new MemberInputs();
    private final DiskWriter diskWriter;
    private final ClusterBootstrap bootstrap;
    private final MemberDirectory directory;
    private final MemberHello hello;
    private final QuorumContactReporter quorumReporter;
    private final AppliedChanges appliedChanges;
    private final AgreedStateKnowledge knowledge;
    private final CommandService commands;
    private final Thread thread = new Thread(this::run, "agreement");

    /** Tells the member's thread to end. */
    private volatile boolean closed;

    /** Whether this member is the leader, as last seen by the member's thread. */
    private volatile boolean leading;

    /** Whether {@link #stopTakingPart} was called. Used only by the member's thread. */
    private boolean takesNoPart;

    /** When the hello was last sent. Used only by the member's thread. */
    private long helloSentMillis;

    private int port;

    /**
     * Opens the member's folder and recovers its state. The member takes part after {@link #start}.
     *
     * @throws IOException if the folder is in use or cannot be recovered
     */
    public ClusterMember(ClusterSettings settings, LocalController controller) throws IOException {
        this.settings = settings;
        disk = new FileDisk(settings.folder());
        AgreedStateSnapshot recoveredState;
        try {
            SecureRandom random = new SecureRandom();
            log = new DurableLog(disk, line -> LOG.warn("{}", line));
            DurableLog.Recovered recovered = log.open(random.nextLong() >>> 1 | 1);
            distribution =
                    new DistributionService(
                            settings.subscribers(),
                            settings.timing().electionTimeoutTicks(),
                            new SplittableRandom(random.nextLong()));
            connections =
                    new MemberConnections(
                            new FrameHandler(),
                            distribution.downstream(),
                            new SplittableRandom(random.nextLong()));
            recoveredState = RecoveredAgreedState.of(recovered);
            engine = newEngine(recovered, new SplittableRandom(random.nextLong()));
            bootstrap = new ClusterBootstrap(settings, recovered, log, engine, nowMillis());
        } catch (IOException | RuntimeException failure) {
            disk.close();
            throw failure;
        }
        diskWriter = new DiskWriter(settings.folder(), inputs, engine::diskStatusChanged);
        directory = new MemberDirectory(settings, bootstrap.memberId(), engine.raft());
        hello = new MemberHello(bootstrap.memberId(), settings.name());
        quorumReporter = new QuorumContactReporter(settings, controller, directory);
        appliedChanges = new AppliedChanges(agreed, controller, distribution);
        knowledge =
                new AgreedStateKnowledge(
                        settings, recoveredState, controller, appliedChanges, inputs::put);
        commands = newCommandService(controller);
        updateHello();
    }

    private Engine newEngine(DurableLog.Recovered recovered, RandomGenerator random)
            throws IOException {
        return new Engine(
                recovered,
                settings.timing(),
                new SafetyRules(),
                random,
                nowTicks(),
                agreed,
                settings.compaction(),
                new EngineEnvironment());
    }

    private CommandService newCommandService(LocalController controller) {
        StatusWriter status =
                new StatusWriter(
                        settings,
                        engine.raft(),
                        agreed,
                        bootstrap,
                        directory,
                        quorumReporter,
                        diskWriter,
                        distribution);
        return new CommandService(
                inputs, bootstrap, engine, agreed, controller, appliedChanges.history(), status);
    }

    /** Starts to listen and to take part in the cluster. */
    public void start() throws IOException, InterruptedException {
        port = connections.listen(settings.listen());
        thread.setDaemon(true);
        knowledge.start();
        distribution.start();
        diskWriter.start();
        thread.start();
        LOG.info(
                "member {} ({}) listens on {}, port {}, lastIndex={} version={}",
                settings.name(),
                Long.toHexString(bootstrap.memberId()),
                settings.listen().getHostString(),
                port,
                engine.raft().log().lastIndex(),
                agreed.version());
    }

    /** Returns the port that the member listens on. */
    public int port() {
        return port;
    }

    /** Returns whether this member is the leader, as last seen by the member's thread. */
    public boolean isLeader() {
        return leading;
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.interrupt();
        diskWriter.stop();
        thread.join(STOP_TIMEOUT_MS);
        diskWriter.awaitStop(STOP_TIMEOUT_MS);
        knowledge.close();
        distribution.close();
        connections.close();
        try {
            disk.close();
        } catch (IOException alreadyReleased) {
            LOG.info("folder already released folder={}", settings.folder());
        }
    }

    private static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    private static long nowTicks() {
        return System.nanoTime() / Ticks.NANOS_PER_TICK;
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>();
        while (!closed) {
            try {
                runIteration(batch);
            } catch (InterruptedException stopped) {
                return;
            } catch (RuntimeException failure) {
                // The state in memory may be wrong now; a restart recovers it from the disk.
                LOG.error("member stopped after a failure, restart this controller", failure);
                quorumReporter.stopped();
                return;
            }
        }
    }

    /**
     * Passes the time and the waiting inputs to the engine, runs it, and updates its dependents.
     */
    private void runIteration(List<Runnable> batch) throws InterruptedException {
        inputs.await(MAX_WAIT_MS);
        engine.tick(nowTicks());
        inputs.drainTo(batch);
        for (Runnable input : batch) {
            input.run();
            engine.tick(nowTicks());
        }
        batch.clear();
        if (bootstrap.isSuperseded()) {
            if (!takesNoPart) {
                stopTakingPart();
            }
            return;
        }
        if (!bootstrap.isPartOfCluster()) {
            joinOrFoundCluster();
        }
        engine.run();
        updateDependents();
    }

    /**
     * Limits the controller as without a quorum and answers the open calls. The engine is not run
     * any more, so that nothing is acknowledged, committed or applied; the member's status can
     * still be read. The other cluster is recorded, so that this holds after a restart, too.
     */
    private void stopTakingPart() {
        takesNoPart = true;
        leading = false;
        quorumReporter.stopped();
        knowledge.superseded();
        engine.abandonProposals();
        long other = bootstrap.supersedingCluster();
        diskWriter.submit(() -> log.recordKnownCluster(other), () -> {});
    }

    /** Updates the distribution, the hello, the controller and the connections. */
    private void updateDependents() {
        leading = engine.raft().isLeader();
        distribution.refresh(bootstrap.clusterId(), agreed, engine.raft());
        if (!hello.hasMembership(engine.raft().membership())) {
            updateHello();
            sendHello();
        } else if (nowMillis() - helloSentMillis >= HELLO_INTERVAL_MS) {
            sendHello();
        }
        knowledge.update(bootstrap.isPartOfCluster(), distribution.hasBeenFresh());
        quorumReporter.update(engine.raft());
        connections.update(directory.otherAddresses(bootstrap.isPartOfCluster()), nowMillis());
    }

    private void sendHello() {
        helloSentMillis = nowMillis();
        connections.sendHello();
    }

    /** Updates the hello and the peers' addresses to the current cluster and membership. */
    private void updateHello() {
        hello.update(bootstrap.clusterId(), engine.raft().membership());
        directory.invalidate();
    }

    private void joinOrFoundCluster() {
        bootstrap.update(nowMillis());
        if (bootstrap.isPartOfCluster()) {
            updateHello();
            sendHello();
        }
    }

    private void handleHello(Hello other) {
        bootstrap.helloReceived(other);
        if (other.members().get(bootstrap.memberId()) != null) {
            directory.membershipReceived(other.members());
        } else if (other.cluster() != 0 && !bootstrap.isPartOfCluster()) {
            knowledge.clusterHeard(directory.addressesOf(other.members()));
        }
    }

    /** Handles received frames. Called by the reactor's thread. */
    private final class FrameHandler implements MemberConnections.Handler {
        @Override
        public byte[] hello() {
            return hello.encoded();
        }

        @Override
        public void helloReceived(Hello other) {
            inputs.offer(() -> handleHello(other));
        }

        @Override
        public void helloEnded(Hello other) {
            inputs.offer(() -> bootstrap.helloEnded(other));
        }

        @Override
        public void messageReceived(MemberConnection from, byte[] payload, long cluster)
                throws IOException {
            if (bootstrap.isPartOfCluster()
                    && cluster == bootstrap.clusterId()
                    && from.memory().charge(payload.length)) {
                queueMessage(from, payload.length, MessageCodec.decode(payload));
            }
        }

        private void queueMessage(MemberConnection from, int bytes, Message message) {
            boolean queued =
                    inputs.offer(
                            () -> {
                                from.memory().release(bytes);
                                engine.receive(message);
                                distribution.messageReceived(message, engine.raft());
                            });
            if (!queued) {
                from.memory().release(bytes);
            }
        }

        @Override
        public void callReceived(MemberConnection from, byte[] payload) {
            commands.callReceived(from, payload);
        }

        @Override
        public void callerEnded(MemberConnection caller) {
            inputs.dropCalls(caller);
        }
    }

    /** Carries out the engine's output. Called by the member's thread. */
    private final class EngineEnvironment implements Engine.Environment {
        @Override
        public void send(Message message) {
            String address = directory.addressOf(message.to());
            if (address != null) {
                try {
                    connections.send(address, MessageCodec.encode(message));
                } catch (IOException impossible) {
                    throw new UncheckedIOException(impossible);
                }
            }
        }

        @Override
        public void save(
                long writeNumber,
                TermAndVote termAndVote,
                long firstIndex,
                List<Entry> entries,
                Snapshot snapshot) {
            diskWriter.submit(
                    () -> log.save(termAndVote, entries, snapshot),
                    () -> engine.writeCompleted(writeNumber));
        }

        @Override
        public void saveSnapshot(Snapshot snapshot) {
            diskWriter.submit(
                    () -> log.saveSnapshot(snapshot), () -> engine.snapshotSaved(snapshot));
        }

        @Override
        public void answer(long request, Engine.Answer answer) {
            commands.answer(request, answer);
        }

        @Override
        public void applied(Entry entry, ClientSessions.Outcome outcome) {
            appliedChanges.applied(bootstrap.clusterId(), entry, outcome);
        }

        @Override
        public void restored(long index) {
            appliedChanges.restored(bootstrap.clusterId(), index);
        }

        @Override
        public void log(String line) {
            LOG.info("{}", line);
        }
    }
}
