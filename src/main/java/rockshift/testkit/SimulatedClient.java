package rockshift.testkit;

import java.nio.ByteBuffer;
import java.util.random.RandomGenerator;
import rockshift.cluster.Engine;

/**
 * A simulated client that runs one operation at a time and retries it at other members under the
 * same serial until it is answered. A read-only client sends to any member, which includes former
 * leaders. Single-threaded, in simulated time.
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
    private long currentRequest;
    private SimulatedHost target;
    private long lastCompletedAtTicks;

    SimulatedClient(SimulatedCluster cluster, int number, boolean readsOnly) {
        this.cluster = cluster;
        random = cluster.random();
        history = cluster.history();
        this.number = number;
        this.readsOnly = readsOnly;
        timeoutTicks = readsOnly ? 100 : 600;
        target = cluster.hosts().get(number % cluster.hosts().size());
        resetSession();
        cluster.after(random.nextLong(500), this::startNextOperation);
    }

    /** The time at which the last operation was answered. */
    long lastCompletedAtTicks() {
        return lastCompletedAtTicks;
    }

    private void resetSession() {
        session = FaultInjection.randomId(random);
        opened = false;
        serial = 0;
    }

    private void startNextOperation() {
        reading = readsOnly || opened && random.nextInt(3) == 0;
        target = readsOnly ? cluster.hosts().get(random.nextInt(cluster.hosts().size())) : target;
        requiredLength = history.requiredLength();
        change = FaultInjection.randomId(random);
        serial += opened && !reading ? 1 : 0;
        sendRequest();
    }

    private void sendRequest() {
        long requestId = cluster.nextSequenceNumber() * 10 + number;
        currentRequest = requestId;
        SimulatedHost to = target;
        cluster.after(
                timeoutTicks,
                () -> {
                    if (currentRequest == requestId && readsOnly) {
                        startNextOperation();
                    } else if (currentRequest == requestId) {
                        retry(null);
                    }
                });
        if (cluster.network().loses(random)) {
            return;
        }
        long sentSession = session;
        long sentSerial = serial;
        byte[] body = ByteBuffer.allocate(8).putLong(change).array();
        boolean sendsRead = reading;
        boolean opensSession = !opened && !reading;
        cluster.after(
                1 + random.nextLong(20),
                () ->
                        to.handle(
                                () -> {
                                    if (opensSession) {
                                        to.engine().openSession(requestId, sentSession);
                                    } else if (sendsRead) {
                                        to.engine().requestRead(requestId);
                                    } else {
                                        to.engine()
                                                .proposeChange(
                                                        requestId, sentSession, sentSerial, body);
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
        currentRequest = 0;
        cluster.after(50 + random.nextLong(400), this::sendRequest);
    }

    void onAnswer(long requestId, Engine.Answer answer, SimulatedHost from) {
        if (requestId == 0 || requestId % 10 != number || cluster.network().loses(random)) {
            return;
        }
        cluster.after(
                1 + random.nextLong(20),
                () -> {
                    if (requestId == currentRequest) {
                        handleAnswer(answer);
                    }
                });
    }

    private void handleAnswer(Engine.Answer answer) {
        if ("session-unknown".equals(answer.refused())) {
            resetSession();
            startNextOperation();
        } else if (answer.refused() != null && readsOnly) {
            cluster.after(10 + random.nextLong(50), this::startNextOperation);
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
            currentRequest = 0;
            cluster.after(10 + random.nextLong(readsOnly ? 30 : 400), this::startNextOperation);
        }
    }
}
