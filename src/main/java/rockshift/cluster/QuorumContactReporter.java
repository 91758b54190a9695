package rockshift.cluster;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.raft.RaftNode;

/**
 * Passes to the controller how much it may change, by whether this member is in touch with a
 * quorum. Used by the member's thread alone.
 */
final class QuorumContactReporter {
    private static final Logger LOG = LoggerFactory.getLogger(QuorumContactReporter.class);

    private final ClusterSettings settings;
    private final LocalController controller;
    private final MemberDirectory directory;

    /** What was last reported to the controller, or null. */
    private LocalController.Reach reported;

    QuorumContactReporter(
            ClusterSettings settings, LocalController controller, MemberDirectory directory) {
        this.settings = settings;
        this.controller = controller;
        this.directory = directory;
    }

    /** What was last reported to the controller, or null. */
    LocalController.Reach reported() {
        return reported;
    }

    /** Passes it to the controller if that has changed. */
    void update(RaftNode raft) {
        boolean contact = raft.hasQuorumContact();
        LocalController.Reach reach = contact ? LocalController.Reach.FULL : withoutQuorum();
        if (reach == reported) {
            return;
        }
        boolean first = reported == null;
        reported = reach;
        controller.setReach(reach);
        if (contact) {
            LOG.info("quorum contact leader={}", directory.nameOf(raft.leader()));
        } else if (!first) {
            LOG.warn(
                    "quorum contact lost, nothing new is agreed here minority={}",
                    settings.minority().name().toLowerCase(Locale.ROOT));
        }
    }

    /** Tells the controller that this member takes no part any more. */
    void stopped() {
        controller.setReach(withoutQuorum());
    }

    private LocalController.Reach withoutQuorum() {
        return switch (settings.minority()) {
            case SERVE -> LocalController.Reach.FULL;
            case WITHDRAW -> LocalController.Reach.WITHDRAW;
            case HOLD -> LocalController.Reach.HOLD;
        };
    }
}
