package rockshift.model;

import java.util.BitSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Immutable set of request classes, identified by their zero-based position in the settings. The
 * number of classes is not limited. {@link #all} is a distinct value: it contains every class,
 * however many there are.
 */
public final class ClassSet {
    private static final ClassSet ALL = new ClassSet(null);

    /** Null for all classes. */
    private final BitSet numbers;

    private ClassSet(BitSet numbers) {
        this.numbers = numbers;
    }

    /** Returns the set of all classes. */
    public static ClassSet all() {
        return ALL;
    }

    /**
     * Returns the set of the classes with the given numbers, which is empty if none are given.
     *
     * @throws IndexOutOfBoundsException if a number is negative
     */
    public static ClassSet of(int... numbers) {
        BitSet members = new BitSet();
        for (int number : numbers) {
            members.set(number);
        }
        return new ClassSet(members);
    }

    /** Returns whether this is the set of all classes. */
    public boolean isAll() {
        return numbers == null;
    }

    public boolean isEmpty() {
        return numbers != null && numbers.isEmpty();
    }

    /** Returns whether the class with a number is in this set. */
    public boolean contains(int number) {
        return numbers == null || numbers.get(number);
    }

    /** Returns the classes that are in at least one of the two sets. */
    public ClassSet union(ClassSet other) {
        if (isAll() || other.isAll()) {
            return ALL;
        }
        BitSet either = (BitSet) numbers.clone();
        either.or(other.numbers);
        return new ClassSet(either);
    }

    /** Returns the classes that are in both sets. */
    public ClassSet intersection(ClassSet other) {
        if (isAll() || equals(other)) {
            return other;
        } else if (other.isAll()) {
            return this;
        }
        BitSet both = (BitSet) numbers.clone();
        both.and(other.numbers);
        return new ClassSet(both);
    }

    /**
     * Returns the numbers of the classes in ascending order.
     *
     * @throws IllegalStateException if this is the set of all classes, which cannot be listed
     */
    public IntStream numbers() {
        if (numbers == null) {
            throw new IllegalStateException("cannot list the numbers of the set of all classes");
        }
        return numbers.stream();
    }

    @Override
    public boolean equals(Object other) {
        return other == this
                || other instanceof ClassSet that
                        && numbers != null
                        && numbers.equals(that.numbers);
    }

    @Override
    public int hashCode() {
        return numbers == null ? 0 : numbers.hashCode();
    }

    /** Returns the numbers joined by plus signs, or "all". */
    @Override
    public String toString() {
        return numbers == null
                ? "all"
                : numbers.stream().mapToObj(Integer::toString).collect(Collectors.joining("+"));
    }
}
