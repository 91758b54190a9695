package rockshift.cluster;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.raft.ClientSessions;
import rockshift.raft.Entry;
import rockshift.raft.Member;

/**
 * Reports applied entries and snapshots to the log, the change history, the controller and the
 * distribution. Used only by the member's thread.
 */
final class AppliedChanges {
    private static final Logger LOG = LoggerFactory.getLogger(AppliedChanges.class);

    private final AgreedState agreed;
    private final LocalController controller;
    private final DistributionService distribution;
    private final ChangeHistory history = new ChangeHistory();

    AppliedChanges(
            AgreedState agreed, LocalController controller, DistributionService distribution) {
        this.agreed = agreed;
        this.controller = controller;
        this.distribution = distribution;
    }

    ChangeHistory history() {
        return history;
    }

    /** Called after an entry was applied. */
    void applied(long cluster, Entry entry, ClientSessions.Outcome outcome) {
        if (entry.kind() == Entry.Kind.MEMBERSHIP) {
            LOG.info("membership applied members={}", describe(entry));
        } else if (entry.kind() == Entry.Kind.CHANGE && outcome.applied()) {
            String change = new String(entry.body(), StandardCharsets.UTF_8);
            String answer = new String(outcome.answer(), StandardCharsets.UTF_8);
            LOG.info("change applied index={} change={} outcome={}", entry.index(), change, answer);
            history.add(entry.index(), change, answer);
            distribution.applied(cluster, agreed, entry.body());
            passToController();
        }
    }

    private static List<String> describe(Entry membership) {
        return membership.members().all().stream().map(AppliedChanges::describe).toList();
    }

    private static String describe(Member member) {
        return member.name() + ":" + member.role().name().toLowerCase(Locale.ROOT);
    }

    /** Called after a snapshot replaced the whole applied state. */
    void restored(long cluster, long index) {
        LOG.info("snapshot restored index={} version={}", index, agreed.version());
        history.clear();
        distribution.restored(cluster, agreed);
        passToController();
    }

    /** Passes the whole agreed state to the controller. */
    void passToController() {
        controller.applyAgreed(
                agreed.version(),
                new TreeMap<>(agreed.drains()),
                new TreeMap<>(agreed.overrides()));
    }
}
