package rockshift.testkit;

import java.nio.ByteBuffer;
import java.util.random.RandomGenerator;
import rockshift.cluster.Engine;

/**
 * Asks for one thing at a time, and again elsewhere, under the same serial, until it is told. One
 * that only watches reads wherever it comes, and so from who no longer leads.
 */
final class SimulatedClient {
    private final SimulatedCluster cluster;
    private final RandomGenerator chance;
    private final HistoryChecker history;
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
    private SimulatedHost asked;
    long doneAt;

    SimulatedClient(SimulatedCluster cluster, int number, boolean watches) {
        this.cluster = cluster;
        chance = cluster.chance;
        history = cluster.history;
        this.number = number;
        this.watches = watches;
        patience = watches ? 100 : 600;
        asked = cluster.hosts.get(number % cluster.hosts.size());
        reopen();
        cluster.after(chance.nextLong(500), this::next);
    }

    private void reopen() {
        session = FaultInjection.number(chance);
        opened = false;
        serial = 0;
    }

    /** Begins the next thing to do. */
    private void next() {
        reads = watches || opened && chance.nextInt(3) == 0;
        asked = watches ? cluster.hosts.get(chance.nextInt(cluster.hosts.size())) : asked;
        began = history.begins();
        change = FaultInjection.number(chance);
        serial += opened && !reads ? 1 : 0;
        ask();
    }

    private void ask() {
        long mine = cluster.nextNumber() * 10 + number;
        request = mine;
        SimulatedHost to = asked;
        cluster.after(
                patience,
                () -> {
                    if (request == mine && watches) {
                        next();
                    } else if (request == mine) {
                        again(null);
                    }
                });
        if (cluster.network.loses(chance)) {
            return;
        }
        long openedSession = session;
        long sentSerial = serial;
        byte[] body = ByteBuffer.allocate(8).putLong(change).array();
        boolean asksToRead = reads;
        boolean asksToOpen = !opened && !reads;
        cluster.after(
                1 + chance.nextLong(20),
                () ->
                        to.enter(
                                () -> {
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
        asked =
                cluster.hosts.stream()
                        .filter(host -> ("n" + host.place).equals(leader))
                        .findFirst()
                        .orElse(
                                chance.nextInt(3) == 0
                                        ? asked
                                        : cluster.hosts.get(chance.nextInt(cluster.hosts.size())));
        request = 0;
        cluster.after(50 + chance.nextLong(400), this::ask);
    }

    void answered(long to, Engine.Answer answer, SimulatedHost by) {
        if (to == 0 || to % 10 != number || cluster.network.loses(chance)) {
            return;
        }
        cluster.after(
                1 + chance.nextLong(20),
                () -> {
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
            cluster.after(10 + chance.nextLong(50), this::next);
        } else if (answer.refused() != null) {
            again(answer.leader());
        } else {
            if (!opened && !reads) {
                opened = true;
            } else if (reads) {
                history.read(SimulatedHost.changes(answer.body()), began);
            } else {
                cluster.tell("client %d: change %d acknowledged", number, change);
                history.wrote(change, ByteBuffer.wrap(answer.body()).getInt(), began);
            }
            doneAt = cluster.now();
            request = 0;
            cluster.after(10 + chance.nextLong(watches ? 30 : 400), this::next);
        }
    }
}
