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
 * One running member of the cluster: puts its parts together, and starts and stops their threads.
 *
 * <p>The member's own thread owns the engine and all that follows from it: it takes in the time,
 * then a batch of inputs, then lets the engine decide. The disk's thread, the reactor's and the
 * distribution's reach it through {@link MemberInputs}. {@link #start}, {@link #close} and the
 * getters may be called by any thread.
 */
public final class ClusterMember implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterMember.class);

    /** How long the member's thread waits for an input before it looks at the clock again. */
    private static final long MAX_WAIT_MS = 10;

    /** How long the threads may take to end. */
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
    private final QuorumContactReporter quorum;
    private final AppliedChanges appliedChanges;
    private final CommandService commands;
    private final Thread thread = new Thread(this::run, "agreement");

    /** Publishes to the member's thread that it is to end. */
    private volatile boolean closed;

    /** Publishes whether it leads, as the member's thread last saw it. */
    private volatile boolean leading;

    private int port;

    /**
     * Opens the member's folder; takes no part before {@link #start}.
     *
     * @throws IOException if the folder is in use or cannot be recovered
     */
    public ClusterMember(ClusterSettings settings, LocalController controller) throws IOException {
        this.settings = settings;
        disk = new FileDisk(settings.folder());
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
                            distribution.port(),
                            new SplittableRandom(random.nextLong()));
            engine = newEngine(recovered, new SplittableRandom(random.nextLong()));
            bootstrap = new ClusterBootstrap(settings, recovered, log, engine);
        } catch (IOException | RuntimeException failure) {
            disk.close();
            throw failure;
        }
        diskWriter = new DiskWriter(settings.folder(), inputs, engine::diskStatusChanged);
        directory = new MemberDirectory(settings, bootstrap.memberId(), engine.raft());
        hello = new MemberHello(bootstrap.memberId(), settings.name());
        quorum = new QuorumContactReporter(settings, controller, directory);
        appliedChanges = new AppliedChanges(agreed, controller, distribution);
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
                        quorum,
                        diskWriter,
                        distribution);
        return new CommandService(
                inputs, engine, agreed, controller, appliedChanges.history(), status);
    }

    /** Listens and takes part. */
    public void start() throws IOException, InterruptedException {
        port = connections.listen(settings.listen());
        thread.setDaemon(true);
        appliedChanges.passToController();
        distribution.start();
        diskWriter.start();
        thread.start();
        LOG.info(
                "member {} ({}) listens on {}, port {}, {} entries, agreed version {}",
                settings.name(),
                Long.toHexString(bootstrap.memberId()),
                settings.listen().getHostString(),
                port,
                engine.raft().log().lastIndex(),
                agreed.version());
    }

    /** The port on which it listens. */
    public int port() {
        return port;
    }

    /** Whether it leads, as its own thread last saw it. */
    public boolean leads() {
        return leading;
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.interrupt();
        diskWriter.stop();
        thread.join(STOP_TIMEOUT_MS);
        diskWriter.awaitStop(STOP_TIMEOUT_MS);
        distribution.close();
        connections.close();
        try {
            disk.close();
        } catch (IOException alreadyReleased) {
            LOG.info("folder already released folder={}", settings.folder());
        }
    }

    private static long nowTicks() {
        return System.nanoTime() / Ticks.NANOS_PER_TICK;
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>();
        if (!bootstrap.isPartOfCluster()) {
            tryJoinOrFound(null);
        }
        while (!closed) {
            try {
                turn(batch);
            } catch (InterruptedException stopped) {
                return;
            } catch (RuntimeException failure) {
                // What it holds in memory may be wrong now: a restart reads the disk anew.
                LOG.error("member failed and stops here, restart this controller", failure);
                quorum.stopped();
                return;
            }
        }
    }

    /** Takes in the time and what waits, lets the engine decide, and tends what follows. */
    private void turn(List<Runnable> batch) throws InterruptedException {
        Runnable first = inputs.poll(MAX_WAIT_MS);
        engine.tick(nowTicks());
        if (first != null) {
            batch.add(first);
            inputs.drainTo(batch);
            for (Runnable input : batch) {
                input.run();
                engine.tick(nowTicks());
            }
            batch.clear();
        }
        engine.run();
        updateSurroundings();
    }

    /** Brings the distribution, the hello, the controller and the connections up to date. */
    private void updateSurroundings() {
        leading = engine.raft().isLeader();
        distribution.handOverAndNoteFreshness(bootstrap.clusterId(), agreed, engine.raft());
        if (!hello.names(engine.raft().membership())) {
            updateHello();
            connections.greet();
        }
        quorum.update(engine.raft());
        connections.tend(
                directory.otherAddresses(bootstrap.isPartOfCluster()),
                System.nanoTime() / NANOS_PER_MILLI);
    }

    /** Has new connections say who this member is now. */
    private void updateHello() {
        hello.update(bootstrap.clusterId(), engine.raft().membership());
        directory.invalidate();
    }

    private void tryJoinOrFound(Hello other) {
        bootstrap.tryJoinOrFound(other);
        if (bootstrap.isPartOfCluster()) {
            updateHello();
            connections.greet();
        }
    }

    private void handleHello(Hello other) {
        bootstrap.helloReceived(other);
        if (other.members().get(bootstrap.memberId()) != null) {
            directory.namedIn(other.members());
        }
        if (!bootstrap.isPartOfCluster()) {
            tryJoinOrFound(other);
        }
    }

    /** Frames of the connections. Called by the reactor's thread. */
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
        public void messageReceived(byte[] payload, long cluster) throws IOException {
            if (bootstrap.isPartOfCluster() && cluster == bootstrap.clusterId()) {
                Message message = MessageCodec.decode(payload);
                inputs.offer(
                        () -> {
                            engine.receive(message);
                            distribution.messageReceived(message, engine.raft());
                        });
            }
        }

        @Override
        public void callReceived(MemberConnection from, byte[] payload) {
            commands.callReceived(from, payload);
        }
    }

    /** What the engine orders. Called by the member's thread. */
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
                TermAndVote vote,
                long from,
                List<Entry> entries,
                Snapshot snapshot) {
            diskWriter.submit(
                    () -> log.save(vote, entries, snapshot),
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
