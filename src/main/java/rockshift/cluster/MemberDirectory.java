package rockshift.cluster;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.RaftNode;

/**
 * Where the other members are: by the agreed membership, or before this member has any, by what
 * another one has said, or by the founders in the file. Used by the member's thread alone.
 */
final class MemberDirectory {
    private final ClusterSettings settings;
    private final long memberId;
    private final RaftNode raft;

    /** The membership that another member has named this one in, or null. */
    private Membership namedBy;

    /** The addresses to be connected to, or null where they are to be worked out anew. */
    private Set<String> otherAddresses;

    MemberDirectory(ClusterSettings settings, long memberId, RaftNode raft) {
        this.settings = settings;
        this.memberId = memberId;
        this.raft = raft;
    }

    /** Notes a membership that names this member. */
    void namedIn(Membership membership) {
        namedBy = membership;
        otherAddresses = null;
    }

    /** The membership or the cluster is another than before. */
    void invalidate() {
        otherAddresses = null;
    }

    /** The addresses to be connected to. */
    Set<String> otherAddresses(boolean partOfCluster) {
        if (otherAddresses == null) {
            otherAddresses = findOtherAddresses(partOfCluster);
        }
        return otherAddresses;
    }

    private Set<String> findOtherAddresses(boolean partOfCluster) {
        Set<String> addresses = new HashSet<>();
        for (Member member : reachable().all()) {
            if (member.id() != memberId) {
                addresses.add(route(member.name(), member.address()));
            }
        }
        if (!partOfCluster) {
            for (Map.Entry<String, String> founder : settings.founders().entrySet()) {
                if (!founder.getKey().equals(settings.name())) {
                    addresses.add(route(founder.getKey(), founder.getValue()));
                }
            }
        }
        return addresses;
    }

    private Membership reachable() {
        Membership agreed = raft.membership();
        return agreed.all().isEmpty() && namedBy != null ? namedBy : agreed;
    }

    /** Where messages to a member go; null for one that is not known. */
    String addressOf(long member) {
        Member known = reachable().get(member);
        return known == null ? null : route(known.name(), known.address());
    }

    private String route(String name, String address) {
        return settings.routes().getOrDefault(name, address);
    }

    /** A member's name by the agreed membership, for the log and the status. */
    String nameOf(long member) {
        Member known = raft.membership().get(member);
        return known == null ? "none" : known.name();
    }
}
