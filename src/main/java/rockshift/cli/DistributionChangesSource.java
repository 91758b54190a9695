package rockshift.cli;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.cluster.AgreedItems;
import rockshift.cluster.Change;
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
 * Joins a subscription to the governor of its process: what is agreed and concerns it goes to its
 * module.
 */
final class DistributionChangesSource implements AgreedChangesSource, DistributionListener {
    private static final Logger LOG = LoggerFactory.getLogger(DistributionChangesSource.class);

    private final DistributionSettings settings;
    private AgreedChangesReceiver receiver;
    private DistributionReactor reactor;
    private DistributionClient client;
    // Used within the client's steps alone.
    private final Map<String, Change> held = new HashMap<>();
    private Revision revision = Revision.NONE;

    DistributionChangesSource(DistributionSettings settings) {
        this.settings = settings;
    }

    @Override
    public void begin(AgreedChangesReceiver into) throws IOException, InterruptedException {
        receiver = into;
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
        LOG.info("{} subscribes at {}", settings.name(), settings.upstreams().keySet());
    }

    @Override
    public void end() throws InterruptedException {
        if (client != null) {
            client.close();
            reactor.close();
        }
    }

    @Override
    public void snapshot(Revision at, List<Item> items, Runnable inForce) {
        held.clear();
        items.forEach(this::put);
        tell(at, inForce);
    }

    @Override
    public void difference(Revision at, List<Update> updates, Runnable inForce) {
        for (Update update : updates) {
            if (update.deleted()) {
                held.remove(update.item().key());
            } else {
                put(update.item());
            }
        }
        tell(at, inForce);
    }

    private void put(Item item) {
        try {
            held.put(item.key(), AgreedItems.change(item));
        } catch (IOException unknown) {
            // Written by a later version: what it means can't be followed here, all else can.
            LOG.warn("item {} left: {}", item.key(), unknown.getMessage());
            held.remove(item.key());
        }
    }

    private void tell(Revision at, Runnable inForce) {
        revision = at;
        Map<String, Change> out = new TreeMap<>();
        Map<String, Double> terms = new TreeMap<>();
        for (Change change : held.values()) {
            if (change.scoped()) {
                out.put(change.subject(), change);
            } else if (change.kind() == Change.Kind.TERM) {
                terms.put(change.subject(), change.value());
            }
        }
        AgreedInput.tell(receiver, at.number(), out, terms, inForce);
        LOG.info("agreed revision {}: {} replicas kept out, terms {}", at, out.size(), terms);
    }

    @Override
    public void notice(RejectionReason reason, String place) {
        LOG.warn("upstream of {}: {} {}", settings.name(), reason.code(), place);
    }

    @Override
    public void stale(long ageMillis) {
        LOG.warn(
                "cut off from what is agreed: what is held, revision {}, is {} ms old and stays in"
                        + " force",
                revision,
                ageMillis);
    }

    @Override
    public void freshAgain(long afterMillis) {
        LOG.info(
                "what is agreed is up to date again after {} ms, revision {}",
                afterMillis,
                revision);
    }
}
