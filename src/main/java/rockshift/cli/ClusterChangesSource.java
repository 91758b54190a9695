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
 * Connects a member of the cluster to the controller of its process: the agreed state goes in, the
 * list of replicas comes out. Calls come on the member's thread.
 */
final class ClusterChangesSource implements AgreedChangesSource, LocalController {
    private final ClusterSettings settings;
    private AgreedChangesReceiver receiver;
    private ClusterMember member;

    ClusterChangesSource(ClusterSettings settings) {
        this.settings = settings;
    }

    @Override
    public void begin(AgreedChangesReceiver into) throws IOException, InterruptedException {
        receiver = into;
        member = new ClusterMember(settings, this);
        member.start();
    }

    @Override
    public void end() throws InterruptedException {
        if (member != null) {
            member.close();
        }
    }

    @Override
    public void applyAgreed(long version, Map<String, Change> out, Map<String, Double> terms) {
        AgreedInput.tell(receiver, version, out, terms, () -> {});
    }

    @Override
    public void setReach(LocalController.Reach reach) {
        receiver.setControlScope(
                switch (reach) {
                    case FULL -> ControlScope.FULL;
                    case WITHDRAW -> ControlScope.REMOVALS_ONLY;
                    case HOLD -> ControlScope.NONE;
                });
    }

    @Override
    public String objection(Change change, Map<String, Change> out) {
        if (change.kind() != Change.Kind.DRAIN && change.kind() != Change.Kind.HOLD) {
            return null;
        }
        Map<String, Endpoint> listed = receiver.endpoints();
        if (!listed.containsKey(change.subject())) {
            return "unknown-replica: "
                    + change.subject()
                    + " is not listed here (--force asks for it all the same)";
        }
        boolean left =
                listed.entrySet().stream()
                        .anyMatch(
                                entry ->
                                        !entry.getKey().equals(change.subject())
                                                && !out.containsKey(entry.getKey())
                                                && entry.getValue().health()
                                                        == Endpoint.Health.READY);
        return left ? null : "last-replica: nobody else is listed as ready and not kept out";
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
