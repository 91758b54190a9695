package rockshift.raft;

import java.util.Collection;
import java.util.TreeMap;
import java.util.function.LongPredicate;
import java.util.function.ToLongFunction;

/** Who takes part. It never changes; a change makes another that differs by one member. */
public final class Membership {
    /** Members at most: five that vote, and a few that learn. */
    public static final int MAX_MEMBERS = 9;

    private final TreeMap<Long, Member> byId = new TreeMap<>();

    public Membership(Collection<Member> members) {
        members.forEach(member -> byId.put(member.id(), member));
    }

    public Collection<Member> all() {
        return byId.values();
    }

    public Member get(long id) {
        return byId.get(id);
    }

    public Member byName(String name) {
        return byId.values().stream()
                .filter(member -> member.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    public boolean isVoter(long id) {
        Member member = byId.get(id);
        return member != null && member.role() == Member.Role.VOTER;
    }

    public long voterCount() {
        return byId.keySet().stream().filter(this::isVoter).count();
    }

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

    /** The highest value that so many voters have reached. */
    long valueReachedBy(long needed, ToLongFunction<Long> value) {
        long[] sorted =
                byId.keySet().stream().filter(this::isVoter).mapToLong(value).sorted().toArray();
        return needed < 1 || sorted.length < needed
                ? Long.MIN_VALUE
                : sorted[sorted.length - (int) needed];
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
