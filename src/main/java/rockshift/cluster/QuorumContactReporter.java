package rockshift.cluster;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.raft.RaftNode;

/**
 * Tells the controller what it may change, depending on this member's contact with a quorum. Used
 * only by the member's thread.
 */
final class QuorumContactReporter {
    private static final Logger LOG = LoggerFactory.getLogger(QuorumContactReporter.class);

    private final ClusterSettings settings;
    private final LocalController controller;
    private final MemberDirectory directory;

    /** The value last passed to the controller, or null. */
    private LocalController.Reach reported;

    QuorumContactReporter(
            ClusterSettings settings, LocalController controller, MemberDirectory directory) {
        this.settings = settings;
        this.controller = controller;
        this.directory = directory;
    }

    /** Returns the value last passed to the controller, or null. */
    LocalController.Reach reported() {
        return reported;
    }

    /** Passes the present value to the controller if it has changed. */
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
            LOG.info("quorum contact established leader={}", directory.nameOf(raft.leader()));
        } else if (!first) {
            LOG.warn(
                    "quorum contact lost, this member applies no new changes minority={}",
                    settings.minority().name().toLowerCase(Locale.ROOT));
        }
    }

    /** Limits the controller as without a quorum, since this member has stopped. */
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
