package rockshift.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import rockshift.model.ClassSet;

class ClassNamesTest {
    @Test
    void findsClassesByTheirWholeNames() {
        ClassNames names = ClassNames.of("search", "checkout", "search-all");
        assertThat(names.number("search")).isZero();
        assertThat(names.number("search-all")).isEqualTo(2);
        assertThat(names.number("search-")).isEqualTo(-1);
        assertThat(names.contains("search-all")).isTrue();
        assertThat(names.contains("all")).isFalse();
        assertThat(names.joined(ClassSet.of(2, 0))).isEqualTo("search+search-all");
    }

    @Test
    void invalidNamesAreRejectedWithTheirField() {
        assertRejected("class.1.name", "'search' repeats class.0.name", "search", "search");
        assertRejected("class.1.name", "is empty", "search", "");
        assertRejected(
                "class.0.name",
                "'a+b' holds '+', which the protocol separates by",
                "a+b",
                "search");
        assertRejected(
                "class.2.name",
                "'a,b' holds ',', which the protocol separates by",
                "search",
                "checkout",
                "a,b");
        assertRejected("class.0.name", "'a:b' holds ':', which the protocol separates by", "a:b");
    }

    private static void assertRejected(String field, String reason, String... names) {
        assertThatThrownBy(() -> ClassNames.of(names))
                .isInstanceOfSatisfying(
                        ClassNames.InvalidNameException.class,
                        invalid -> {
                            assertThat(invalid.field()).isEqualTo(field);
                            assertThat(invalid.reason()).isEqualTo(reason);
                            assertThat(invalid).hasMessage(field + ": " + reason);
                        });
    }
}
