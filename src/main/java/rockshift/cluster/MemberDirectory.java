package rockshift.cluster;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.RaftNode;

/**
 * The addresses of the other members. They come from the agreed membership or, before this member
 * has one, from the membership that another member sent and from the founders in the operator's
 * file. Used only by the member's thread.
 */
final class MemberDirectory {
    private final ClusterSettings settings;
    private final long memberId;
    private final RaftNode raft;

    /** The last membership received that contains this member, or null. */
    private Membership receivedMembership;

    /** The addresses to connect to, or null if they must be recomputed. */
    private Set<String> otherAddresses;

    MemberDirectory(ClusterSettings settings, long memberId, RaftNode raft) {
        this.settings = settings;
        this.memberId = memberId;
        this.raft = raft;
    }

    /** Called with a membership from another member that contains this member. */
    void membershipReceived(Membership membership) {
        receivedMembership = membership;
        otherAddresses = null;
    }

    /** Called when the membership or the cluster has changed. */
    void invalidate() {
        otherAddresses = null;
    }

    /** Returns the addresses to connect to. */
    Set<String> otherAddresses(boolean partOfCluster) {
        if (otherAddresses == null) {
            otherAddresses = findOtherAddresses(partOfCluster);
        }
        return otherAddresses;
    }

    private Set<String> findOtherAddresses(boolean partOfCluster) {
        Set<String> addresses = new HashSet<>();
        for (Member member : knownMembership().all()) {
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

    /** Returns the addresses of the members of a cluster other than this one, by its name. */
    Set<String> addressesOf(Membership members) {
        Set<String> addresses = new LinkedHashSet<>();
        for (Member member : members.all()) {
            if (!member.name().equals(settings.name())) {
                addresses.add(route(member.name(), member.address()));
            }
        }
        return addresses;
    }

    private Membership knownMembership() {
        Membership agreed = raft.membership();
        return agreed.all().isEmpty() && receivedMembership != null ? receivedMembership : agreed;
    }

    /** Returns the address for messages to a member, or null if the member is not known. */
    String addressOf(long member) {
        Member known = knownMembership().get(member);
        return known == null ? null : route(known.name(), known.address());
    }

    private String route(String name, String address) {
        return settings.routes().getOrDefault(name, address);
    }

    /** Returns a member's name in the agreed membership, for the log and the status. */
    String nameOf(long member) {
        Member known = raft.membership().get(member);
        return known == null ? "none" : known.name();
    }
}
