package rockshift.testkit;

import java.nio.ByteBuffer;
import java.util.random.RandomGenerator;
import rockshift.cluster.Engine;

/**
 * Runs one operation at a time, and retries it elsewhere under the same serial until it is
 * answered. One that only reads asks any member, and so also one that no longer leads.
 */
final class SimulatedClient {
    private final SimulatedCluster cluster;
    private final RandomGenerator random;
    private final HistoryChecker history;
    private final long timeoutTicks;

    private final int number;
    private final boolean readsOnly;
    private long session;
    private boolean opened;
    private long serial;
    private long change;
    private boolean reading;
    private int requiredLength;
    private long request;
    private SimulatedHost target;
    private long lastCompletedAtTicks;

    SimulatedClient(SimulatedCluster cluster, int number, boolean watches) {
        this.cluster = cluster;
        random = cluster.random();
        history = cluster.history();
        this.number = number;
        this.readsOnly = watches;
        timeoutTicks = watches ? 100 : 600;
        target = cluster.hosts().get(number % cluster.hosts().size());
        reopen();
        cluster.after(random.nextLong(500), this::next);
    }

    /** When its last operation was answered. */
    long lastCompletedAtTicks() {
        return lastCompletedAtTicks;
    }

    private void reopen() {
        session = FaultInjection.randomId(random);
        opened = false;
        serial = 0;
    }

    /** Begins the next thing to do. */
    private void next() {
        reading = readsOnly || opened && random.nextInt(3) == 0;
        target = readsOnly ? cluster.hosts().get(random.nextInt(cluster.hosts().size())) : target;
        requiredLength = history.requiredLength();
        change = FaultInjection.randomId(random);
        serial += opened && !reading ? 1 : 0;
        ask();
    }

    private void ask() {
        long mine = cluster.nextNumber() * 10 + number;
        request = mine;
        SimulatedHost to = target;
        cluster.after(
                timeoutTicks,
                () -> {
                    if (request == mine && readsOnly) {
                        next();
                    } else if (request == mine) {
                        retry(null);
                    }
                });
        if (cluster.network().loses(random)) {
            return;
        }
        long openedSession = session;
        long sentSerial = serial;
        byte[] body = ByteBuffer.allocate(8).putLong(change).array();
        boolean asksToRead = reading;
        boolean asksToOpen = !opened && !reading;
        cluster.after(
                1 + random.nextLong(20),
                () ->
                        to.handle(
                                () -> {
                                    if (asksToOpen) {
                                        to.engine().openSession(mine, openedSession);
                                    } else if (asksToRead) {
                                        to.engine().requestRead(mine);
                                    } else {
                                        to.engine()
                                                .proposeChange(
                                                        mine, openedSession, sentSerial, body);
                                    }
                                }));
    }

    private void retry(String leader) {
        target =
                cluster.hosts().stream()
                        .filter(host -> ("n" + host.index()).equals(leader))
                        .findFirst()
                        .orElse(
                                random.nextInt(3) == 0
                                        ? target
                                        : cluster.hosts()
                                                .get(random.nextInt(cluster.hosts().size())));
        request = 0;
        cluster.after(50 + random.nextLong(400), this::ask);
    }

    void answered(long to, Engine.Answer answer, SimulatedHost by) {
        if (to == 0 || to % 10 != number || cluster.network().loses(random)) {
            return;
        }
        cluster.after(
                1 + random.nextLong(20),
                () -> {
                    if (to == request) {
                        completed(answer);
                    }
                });
    }

    private void completed(Engine.Answer answer) {
        if ("session-unknown".equals(answer.refused())) {
            reopen();
            next();
        } else if (answer.refused() != null && readsOnly) {
            cluster.after(10 + random.nextLong(50), this::next);
        } else if (answer.refused() != null) {
            retry(answer.leader());
        } else {
            if (!opened && !reading) {
                opened = true;
            } else if (reading) {
                history.checkRead(ChangeList.decode(answer.body()), requiredLength);
            } else {
                cluster.trace("client %d: change %d acknowledged", number, change);
                history.checkAcknowledged(
                        change, ByteBuffer.wrap(answer.body()).getInt(), requiredLength);
            }
            lastCompletedAtTicks = cluster.nowTicks();
            request = 0;
            cluster.after(10 + random.nextLong(readsOnly ? 30 : 400), this::next);
        }
    }
}
