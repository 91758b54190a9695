package rockshift.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import rockshift.model.ClassSet;

class ClassNamesTest {
    @Test
    void classesAreFoundByTheirWholeNames() {
        ClassNames names = ClassNames.of("cut", "pay", "cut-all");
        assertThat(names.number("cut")).isZero();
        assertThat(names.number("cut-all")).isEqualTo(2);
        assertThat(names.number("cut-")).isEqualTo(-1);
        assertThat(names.contains("cut-all")).isTrue();
        assertThat(names.contains("all")).isFalse();
        assertThat(names.joined(ClassSet.of(2, 0))).isEqualTo("cut+cut-all");
    }

    @Test
    void aNameThatCanNotBeUsedIsNamedWithItsField() {
        refused("class.1.name", "'cut' repeats class.0.name", "cut", "cut");
        refused("class.1.name", "is empty", "cut", "");
        refused("class.0.name", "'a+b' holds '+', which the protocol separates by", "a+b", "cut");
        refused(
                "class.2.name",
                "'a,b' holds ',', which the protocol separates by",
                "cut",
                "pay",
                "a,b");
        refused("class.0.name", "'a:b' holds ':', which the protocol separates by", "a:b");
    }

    private static void refused(String field, String why, String... names) {
        assertThatThrownBy(() -> ClassNames.of(names))
                .isInstanceOfSatisfying(
                        ClassNames.InvalidNameException.class,
                        invalid -> {
                            assertThat(invalid.field()).isEqualTo(field);
                            assertThat(invalid.reason()).isEqualTo(why);
                            assertThat(invalid).hasMessage(field + ": " + why);
                        });
    }
}
