package rockshift.model;

import java.util.BitSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * An immutable set of request classes, each by its position in the settings, from 0. There may be
 * any number of classes. The set of all classes is a value of its own: it stays all of them however
 * many there are.
 */
public final class ClassSet {
    private static final ClassSet ALL = new ClassSet(null);

    /** Null for all classes. */
    private final BitSet numbers;

    private ClassSet(BitSet numbers) {
        this.numbers = numbers;
    }

    /** Every class that there is. */
    public static ClassSet all() {
        return ALL;
    }

    /**
     * The classes with these numbers, from 0; without any, the empty set.
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

    /** Whether this is the set of all classes. */
    public boolean isAll() {
        return numbers == null;
    }

    /** Whether no class is in it. */
    public boolean isEmpty() {
        return numbers != null && numbers.isEmpty();
    }

    /** Whether the class with a number is in it. */
    public boolean contains(int number) {
        return numbers == null || numbers.get(number);
    }

    /** The classes that are in this set or in the other. */
    public ClassSet union(ClassSet other) {
        if (isAll() || other.isAll()) {
            return ALL;
        }
        BitSet either = (BitSet) numbers.clone();
        either.or(other.numbers);
        return new ClassSet(either);
    }

    /** The classes that are in this set and in the other. */
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
     * The numbers of the classes, in rising order.
     *
     * @throws IllegalStateException for the set of all classes, which has no list of its own
     */
    public IntStream numbers() {
        if (numbers == null) {
            throw new IllegalStateException("the set of all classes has no list of numbers");
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

    /** The numbers with a plus sign between them, or "all". */
    @Override
    public String toString() {
        return numbers == null
                ? "all"
                : numbers.stream().mapToObj(Integer::toString).collect(Collectors.joining("+"));
    }
}
