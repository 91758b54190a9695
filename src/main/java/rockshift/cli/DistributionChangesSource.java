package rockshift.cli;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.cluster.Change;
import rockshift.cluster.ReceivedAgreedState;
import rockshift.distribution.Item;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Revision;
import rockshift.distribution.Update;
import rockshift.distribution.wire.DistributionClient;
import rockshift.distribution.wire.DistributionListener;
import rockshift.distribution.wire.DistributionReactor;
import rockshift.distribution.wire.DistributionSettings;
import rockshift.server.AgreedChangesReceiver;
import rockshift.server.AgreedChangesSource;

/**
 * Connects a subscription to the controller in its process: passes the agreed changes that concern
 * the controller to its planner. The methods of {@link DistributionListener} are called one at a
 * time, on the client's threads.
 */
final class DistributionChangesSource implements AgreedChangesSource, DistributionListener {
    private static final Logger LOG = LoggerFactory.getLogger(DistributionChangesSource.class);

    private final DistributionSettings settings;
    private AgreedChangesReceiver receiver;
    private DistributionReactor reactor;
    private DistributionClient client;
    private final ReceivedAgreedState state = new ReceivedAgreedState();
    private Revision revision = Revision.NONE;

    DistributionChangesSource(DistributionSettings settings) {
        this.settings = settings;
    }

    @Override
    public void start(AgreedChangesReceiver into) throws IOException, InterruptedException {
        receiver = into;
        receiver.setAgreedStateKnown(false);
        reactor = new DistributionReactor();
        client =
                new DistributionClient(
                        reactor,
                        settings.name(),
                        List.copyOf(settings.upstreams().values()),
                        settings.scope(),
                        settings.limits(),
                        new SplittableRandom(),
                        this);
        client.start();
        LOG.info(
                "subscribing name={} upstreams={}", settings.name(), settings.upstreams().keySet());
    }

    @Override
    public void stop() throws InterruptedException {
        if (client != null) {
            client.close();
            reactor.close();
        }
    }

    @Override
    public void snapshot(Revision at, List<Item> items, Runnable inForce) {
        state.replace(items);
        apply(at, inForce);
        receiver.setAgreedStateKnown(true);
    }

    @Override
    public void difference(Revision at, List<Update> updates, Runnable inForce) {
        state.apply(updates);
        apply(at, inForce);
    }

    private void apply(Revision at, Runnable inForce) {
        revision = at;
        Map<String, Change> drained = state.drains();
        Map<String, Double> overrides = state.overrides();
        AgreedStateAdapter.apply(receiver, at.number(), drained, overrides, inForce);
        LOG.info(
                "agreed state in force revision={} drainedReplicas={} settings={}",
                at,
                drained.size(),
                overrides);
    }

    @Override
    public void notice(RejectionReason reason, String detail) {
        LOG.warn(
                "upstream notice name={} reason={} detail=\"{}\"",
                settings.name(),
                reason.code(),
                detail);
    }

    @Override
    public void stale(long ageMillis) {
        LOG.warn("agreed state stale revision={} ageMillis={}", revision, ageMillis);
    }

    @Override
    public void upToDate(long staleMillis) {
        LOG.info("agreed state up to date again revision={} afterMillis={}", revision, staleMillis);
    }
}
