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
    private LocalController.PermittedChanges reported;

    QuorumContactReporter(
            ClusterSettings settings, LocalController controller, MemberDirectory directory) {
        this.settings = settings;
        this.controller = controller;
        this.directory = directory;
    }

    /** Returns the value last passed to the controller, or null. */
    LocalController.PermittedChanges reported() {
        return reported;
    }

    /** Passes the present value to the controller if it has changed. */
    void update(RaftNode raft) {
        boolean contact = raft.hasQuorumContact();
        LocalController.PermittedChanges permitted =
                contact ? LocalController.PermittedChanges.FULL : withoutQuorum();
        if (permitted == reported) {
            return;
        }
        boolean first = reported == null;
        reported = permitted;
        controller.setPermittedChanges(permitted);
        if (contact) {
            LOG.info("quorum contact established leader={}", directory.nameOf(raft.leader()));
        } else if (!first) {
            LOG.warn(
                    "quorum contact lost, this member applies no new changes minority={}",
                    settings.minority().name().toLowerCase(Locale.ROOT));
        }
    }

    /** Limits the controller as without a quorum, since this member takes no part any more. */
    void stopped() {
        if (withoutQuorum() != reported) {
            reported = withoutQuorum();
            controller.setPermittedChanges(reported);
        }
    }

    private LocalController.PermittedChanges withoutQuorum() {
        return switch (settings.minority()) {
            case SERVE -> LocalController.PermittedChanges.FULL;
            case WITHDRAW -> LocalController.PermittedChanges.WITHDRAW;
            case HOLD -> LocalController.PermittedChanges.HOLD;
        };
    }
}
