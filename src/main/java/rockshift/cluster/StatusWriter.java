package rockshift.cluster;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Locale;
import rockshift.raft.Member;
import rockshift.raft.RaftNode;

/** Writes a member's status as JSON for commands. Used only by the member's thread. */
final class StatusWriter {
    private final ClusterSettings settings;
    private final RaftNode raft;
    private final AgreedState agreed;
    private final ClusterBootstrap bootstrap;
    private final MemberDirectory directory;
    private final QuorumContactReporter quorum;
    private final DiskWriter disk;
    private final DistributionService distribution;

    StatusWriter(
            ClusterSettings settings,
            RaftNode raft,
            AgreedState agreed,
            ClusterBootstrap bootstrap,
            MemberDirectory directory,
            QuorumContactReporter quorum,
            DiskWriter disk,
            DistributionService distribution) {
        this.settings = settings;
        this.raft = raft;
        this.agreed = agreed;
        this.bootstrap = bootstrap;
        this.directory = directory;
        this.quorum = quorum;
        this.disk = disk;
        this.distribution = distribution;
    }

    void write(JsonGenerator json) throws IOException {
        RaftNode.Status status = raft.status();
        writeIdentity(json);
        writeRole(json, status);
        writeLog(json, status);
        writeDistribution(json);
        writeMembers(json, status);
    }

    private void writeIdentity(JsonGenerator json) throws IOException {
        long memberId = bootstrap.memberId();
        json.writeStringField("name", settings.name());
        json.writeStringField("id", Long.toHexString(memberId));
        json.writeNumberField("number", memberId);
        json.writeStringField("cluster", Long.toHexString(bootstrap.clusterId()));
    }

    private void writeRole(JsonGenerator json, RaftNode.Status status) throws IOException {
        Member leader = raft.membership().get(status.leader());
        json.writeStringField("role", roleWord(status.role()));
        json.writeNumberField("term", status.term());
        json.writeStringField("leader", directory.nameOf(status.leader()));
        json.writeStringField("leader_address", leader == null ? "" : leader.address());
        json.writeBooleanField("in_touch", raft.hasQuorumContact() && !bootstrap.isSuperseded());
        json.writeStringField("orders", String.valueOf(quorum.reported()).toLowerCase(Locale.ROOT));
        json.writeBooleanField("leased", status.holdsLease());
    }

    /**
     * Returns the role in the status. A member of a superseded cluster has none; elsewhere commands
     * and their users know a pre-candidate as a trial.
     */
    private String roleWord(RaftNode.Role role) {
        if (bootstrap.isSuperseded()) {
            return "superseded";
        }
        return role == RaftNode.Role.PRE_CANDIDATE ? "trial" : role.name().toLowerCase(Locale.ROOT);
    }

    private void writeLog(JsonGenerator json, RaftNode.Status status) throws IOException {
        json.writeNumberField("agreed", status.commitIndex());
        json.writeNumberField("applied", status.appliedIndex());
        json.writeNumberField("saved", status.durableIndex());
        json.writeNumberField("first", status.firstIndex());
        json.writeNumberField("last", status.lastIndex());
        json.writeNumberField("snapshot", raft.snapshot().index());
        json.writeNumberField("version", agreed.version());
        json.writeStringField("disk", disk.failureCause());
    }

    private void writeDistribution(JsonGenerator json) throws IOException {
        DistributionService.PublishingStatus publishing = distribution.publishingStatus();
        json.writeObjectFieldStart("distribution");
        json.writeNumberField("connections", publishing.connections());
        json.writeNumberField("subscribers", publishing.summary().subscribers());
        json.writeNumberField("lowest", publishing.summary().lowestRevision());
        json.writeNumberField("behind", publishing.summary().behind());
        json.writeNumberField("unreachable", publishing.summary().unreachable());
        json.writeEndObject();
    }

    private static void writeMembers(JsonGenerator json, RaftNode.Status status)
            throws IOException {
        json.writeArrayFieldStart("members");
        for (Member member : status.membership().all()) {
            json.writeStartObject();
            json.writeStringField("name", member.name());
            json.writeStringField("address", member.address());
            json.writeStringField("role", member.role().name().toLowerCase(Locale.ROOT));
            Long matchIndex = status.matchIndexes().get(member.id());
            if (matchIndex != null) {
                json.writeNumberField("match", matchIndex);
            }
            json.writeEndObject();
        }
        json.writeEndArray();
    }
}
