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
        assertRejected(
                "class.1.name",
                "must be unique, but 'search' is also class.0.name",
                "search",
                "search");
        assertRejected("class.1.name", "must not be empty", "search", "");
        assertRejected(
                "class.0.name",
                "must not contain '+', a separator of the protocol, got 'a+b'",
                "a+b",
                "search");
        assertRejected(
                "class.2.name",
                "must not contain ',', a separator of the protocol, got 'a,b'",
                "search",
                "checkout",
                "a,b");
        assertRejected(
                "class.0.name",
                "must not contain ':', a separator of the protocol, got 'a:b'",
                "a:b");
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
