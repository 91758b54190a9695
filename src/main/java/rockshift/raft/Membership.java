package rockshift.raft;

import java.util.Collection;
import java.util.TreeMap;
import java.util.function.LongPredicate;
import java.util.function.ToLongFunction;

/** The members of the cluster; immutable. A change makes another that differs by one member. */
public final class Membership {
    /** Five voters, and a few learners. */
    public static final int MAX_MEMBERS = 9;

    private final TreeMap<Long, Member> byId = new TreeMap<>();

    /** A membership of the given members, which have different ids. */
    public Membership(Collection<Member> members) {
        members.forEach(member -> byId.put(member.id(), member));
    }

    /** All members, by rising id. */
    public Collection<Member> all() {
        return byId.values();
    }

    /** The member of an id, null if there is none. */
    public Member get(long id) {
        return byId.get(id);
    }

    /** The member that operators call so, null if there is none. */
    public Member byName(String name) {
        return byId.values().stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** What operators call a member, or its number where it is none. */
    String nameOf(long id) {
        Member known = byId.get(id);
        return known == null ? "member " + Long.toHexString(id) : known.name();
    }

    /** Whether an id is that of a member that votes. */
    public boolean isVoter(long id) {
        Member member = byId.get(id);
        return member != null && member.role() == Member.Role.VOTER;
    }

    /** How many members vote. */
    public long voterCount() {
        return byId.keySet().stream().filter(this::isVoter).count();
    }

    /** How many voters satisfy a condition. */
    public long countVoters(LongPredicate agrees) {
        return byId.keySet().stream().filter(id -> isVoter(id) && agrees.test(id)).count();
    }

    Membership with(Member member) {
        Membership other = new Membership(byId.values());
        other.byId.put(member.id(), member);
        return other;
    }

    Membership without(long id) {
        Membership other = new Membership(byId.values());
        other.byId.remove(id);
        return other;
    }

    /** The highest value that at least {@code voters} voters have reached. */
    long valueReachedBy(long voters, ToLongFunction<Long> value) {
        long[] sorted =
                byId.keySet().stream().filter(this::isVoter).mapToLong(value).sorted().toArray();
        return voters < 1 || sorted.length < voters
                ? Long.MIN_VALUE
                : sorted[sorted.length - (int) voters];
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Membership membership && membership.byId.equals(byId);
    }

    @Override
    public int hashCode() {
        return byId.hashCode();
    }

    @Override
    public String toString() {
        return byId.values().toString();
    }
}
