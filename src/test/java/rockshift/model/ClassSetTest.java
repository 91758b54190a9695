package rockshift.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ClassSetTest {
    private static ClassSet of(Set<Integer> numbers) {
        return ClassSet.of(numbers.stream().mapToInt(number -> number).toArray());
    }

    @Property
    void matchesSetOfIntegers(
            @ForAll Set<@IntRange(max = 200) Integer> one,
            @ForAll Set<@IntRange(max = 200) Integer> other) {
        Set<Integer> either = new HashSet<>(one);
        either.addAll(other);
        Set<Integer> both = new HashSet<>(one);
        both.retainAll(other);
        assertThat(of(one).numbers()).containsExactlyElementsOf(new TreeSet<>(one));
        assertThat(of(one).isEmpty()).isEqualTo(one.isEmpty());
        assertThat(of(one).union(of(other))).isEqualTo(of(either)).hasSameHashCodeAs(of(either));
        assertThat(of(one).intersection(of(other))).isEqualTo(of(both)).hasSameHashCodeAs(of(both));
        assertThat(of(one).equals(of(other))).isEqualTo(one.equals(other));
        for (int number = 0; number <= 200; number++) {
            assertThat(of(one).contains(number)).isEqualTo(one.contains(number));
        }
    }

    /**
     * Guards against sets kept as 32-bit masks, in which class 32 was taken for class 0 and the
     * empty set for all classes.
     */
    @Property
    void allContainsEveryClassAndEqualsNoListedSet(@ForAll Set<@IntRange(max = 200) Integer> some) {
        assertThat(ClassSet.all().union(of(some))).isEqualTo(ClassSet.all());
        assertThat(of(some).union(ClassSet.all())).isEqualTo(ClassSet.all());
        assertThat(ClassSet.all().intersection(of(some))).isEqualTo(of(some));
        assertThat(of(some).intersection(ClassSet.all())).isEqualTo(of(some));
        assertThat(of(some)).isNotEqualTo(ClassSet.all());
        assertThat(ClassSet.all().isEmpty()).isFalse();
        assertThat(some).allMatch(ClassSet.all()::contains);
    }

    @Test
    void toStringListsNumbersInAscendingOrder() {
        assertThat(ClassSet.of(32, 0)).hasToString("0+32");
        assertThat(ClassSet.all()).hasToString("all");
    }

    @Test
    void negativeNumberAndNumbersOfAllThrow() {
        assertThatThrownBy(() -> ClassSet.of(-1)).isInstanceOf(IndexOutOfBoundsException.class);
        assertThatThrownBy(() -> ClassSet.all().numbers())
                .isInstanceOf(IllegalStateException.class);
    }
}
