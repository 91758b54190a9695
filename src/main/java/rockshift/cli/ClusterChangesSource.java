package rockshift.cli;

import java.io.IOException;
import java.util.Map;
import rockshift.cluster.Change;
import rockshift.cluster.ClusterMember;
import rockshift.cluster.ClusterSettings;
import rockshift.cluster.LocalController;
import rockshift.model.ControlScope;
import rockshift.model.Endpoint;
import rockshift.model.Ticks;
import rockshift.server.AgreedChangesReceiver;
import rockshift.server.AgreedChangesSource;

/**
 * Connects a member of the cluster to the controller in its process: passes the agreed state to the
 * controller, and the controller's list of replicas to the member. The methods of {@link
 * LocalController} are called on the member's thread.
 */
final class ClusterChangesSource implements AgreedChangesSource, LocalController {
    private final ClusterSettings settings;
    private AgreedChangesReceiver receiver;
    private ClusterMember member;

    ClusterChangesSource(ClusterSettings settings) {
        this.settings = settings;
    }

    @Override
    public void start(AgreedChangesReceiver into) throws IOException, InterruptedException {
        receiver = into;
        member = new ClusterMember(settings, this);
        member.start();
    }

    @Override
    public void stop() throws InterruptedException {
        if (member != null) {
            member.close();
        }
    }

    @Override
    public void applyAgreed(
            long version, Map<String, Change> drains, Map<String, Double> overrides) {
        AgreedStateAdapter.apply(receiver, version, drains, overrides, () -> {});
    }

    @Override
    public void setAgreedStateKnown(boolean known) {
        receiver.setAgreedStateKnown(known);
    }

    @Override
    public void setPermittedChanges(LocalController.PermittedChanges permitted) {
        receiver.setControlScope(
                switch (permitted) {
                    case FULL -> ControlScope.FULL;
                    case WITHDRAW -> ControlScope.REMOVALS_ONLY;
                    case HOLD -> ControlScope.NONE;
                });
    }

    @Override
    public String rejectionReason(Change change, Map<String, Change> drains) {
        if (change.kind() != Change.Kind.DRAIN && change.kind() != Change.Kind.HOLD) {
            return null;
        }
        Map<String, Endpoint> listed = receiver.endpoints();
        if (!listed.containsKey(change.subject())) {
            return "unknown-replica: "
                    + change.subject()
                    + " is not in this controller's discovery list; --force proposes the change"
                    + " anyway";
        }
        boolean anotherIsReady =
                listed.entrySet().stream()
                        .anyMatch(
                                entry ->
                                        !entry.getKey().equals(change.subject())
                                                && !drains.containsKey(entry.getKey())
                                                && entry.getValue().health()
                                                        == Endpoint.Health.READY);
        return anotherIsReady
                ? null
                : "last-replica: no other replica is listed as ready and neither drained nor held";
    }

    @Override
    public long startedMillis(String replica) {
        Endpoint entry = receiver.endpoints().get(replica);
        return entry == null ? 0 : entry.startedAtTicks() / Ticks.TICKS_PER_MILLI;
    }

    @Override
    public String zoneOf(String replica) {
        Endpoint entry = receiver.endpoints().get(replica);
        return entry == null ? "" : entry.zone();
    }
}
