package rockshift.raft;

import java.util.Collection;
import java.util.TreeMap;
import java.util.function.LongPredicate;
import java.util.function.ToLongFunction;

/**
 * The members of the cluster. Immutable; a membership change creates a new instance that differs by
 * one member.
 */
public final class Membership {
    /** Enough for five voters and a few learners. */
    public static final int MAX_MEMBERS = 9;

    private final TreeMap<Long, Member> byId = new TreeMap<>();

    /** Creates a membership of the given members, whose ids must be distinct. */
    public Membership(Collection<Member> members) {
        members.forEach(member -> byId.put(member.id(), member));
    }

    /** Returns all members in ascending order of their ids. */
    public Collection<Member> all() {
        return byId.values();
    }

    /** Returns the member with the given id, or null if there is none. */
    public Member get(long id) {
        return byId.get(id);
    }

    /** Returns the member with the given name, or null if there is none. */
    public Member byName(String name) {
        return byId.values().stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Returns the name of a member, or "member" and its id in hexadecimal if it is unknown. */
    String nameOf(long id) {
        Member known = byId.get(id);
        return known == null ? "member " + Long.toHexString(id) : known.name();
    }

    /** Returns whether the given id is that of a voter. */
    public boolean isVoter(long id) {
        Member member = byId.get(id);
        return member != null && member.role() == Member.Role.VOTER;
    }

    /** Returns the number of voters. */
    public long voterCount() {
        return byId.keySet().stream().filter(this::isVoter).count();
    }

    /** Returns the number of voters whose ids satisfy the condition. */
    public long countVoters(LongPredicate condition) {
        return byId.keySet().stream().filter(id -> isVoter(id) && condition.test(id)).count();
    }

    Membership with(Member member) {
        Membership changed = new Membership(byId.values());
        changed.byId.put(member.id(), member);
        return changed;
    }

    Membership without(long id) {
        Membership changed = new Membership(byId.values());
        changed.byId.remove(id);
        return changed;
    }

    /**
     * Returns the highest value that at least {@code voters} voters have reached, {@link
     * Long#MIN_VALUE} if there are fewer voters.
     */
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
