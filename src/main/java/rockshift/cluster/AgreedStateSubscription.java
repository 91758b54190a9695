package rockshift.cluster;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.config.Section;
import rockshift.distribution.Item;
import rockshift.distribution.Limits;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Update;
import rockshift.distribution.wire.DistributionClient;
import rockshift.distribution.wire.DistributionListener;
import rockshift.distribution.wire.DistributionReactor;

/**
 * Follows the agreed state of a cluster that this member is not part of yet, as a subscriber of its
 * members, so that the controller of a replaced member need not wait until operators add it. Owns
 * the threads of the subscription; used by the member's thread, which also runs what is received.
 */
final class AgreedStateSubscription {
    private static final Logger LOG = LoggerFactory.getLogger(AgreedStateSubscription.class);

    private final DistributionReactor reactor;
    private final DistributionClient client;
    private final LocalController controller;
    private final Consumer<Runnable> memberThread;
    private final ReceivedAgreedState state = new ReceivedAgreedState();
    private boolean received;

    /**
     * Starts to subscribe.
     *
     * @param name the name of this member
     * @param addresses the members of the cluster, without this one
     * @param memberThread runs a task on the member's thread
     * @throws RuntimeException if an address is not valid, or the threads cannot be started now
     */
    AgreedStateSubscription(
            String name,
            Collection<String> addresses,
            LocalController controller,
            Consumer<Runnable> memberThread) {
        this.controller = controller;
        this.memberThread = memberThread;
        List<InetSocketAddress> upstreams = addresses.stream().map(Section::parseAddress).toList();
        reactor = new DistributionReactor();
        client =
                new DistributionClient(
                        reactor,
                        name,
                        upstreams,
                        Scope.all(),
                        Limits.standard(),
                        new SplittableRandom(),
                        new Listener());
        client.start();
        LOG.info("not a member yet, follows the agreed state members={}", addresses);
    }

    /** Returns whether the state was received and is up to date. */
    boolean isUpToDate() {
        return received && client.ageMillis() <= Limits.standard().timing().staleThresholdMillis();
    }

    /** Ends the subscription without waiting for its threads. */
    void close() {
        Thread closing = new Thread(this::closeReactor, "agreed-state-subscription-close");
        closing.setDaemon(true);
        closing.start();
    }

    private void closeReactor() {
        client.close();
        try {
            reactor.close();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void apply(Revision revision, Runnable inForce) {
        received = true;
        Map<String, Change> drains = state.drains();
        controller.applyAgreed(revision.number(), drains, state.overrides());
        inForce.run();
        LOG.info("agreed state received revision={} drainedReplicas={}", revision, drains.size());
    }

    /** Receives the state on the subscription's threads. */
    private final class Listener implements DistributionListener {
        @Override
        public void snapshot(Revision revision, List<Item> items, Runnable inForce) {
            memberThread.accept(
                    () -> {
                        state.replace(items);
                        apply(revision, inForce);
                    });
        }

        @Override
        public void difference(Revision revision, List<Update> updates, Runnable inForce) {
            memberThread.accept(
                    () -> {
                        state.apply(updates);
                        apply(revision, inForce);
                    });
        }
    }
}
