package rockshift.cluster;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Stories of what staff have agreed. */
class AgreedTest {
    private final Agreed agreed = new Agreed();
    private long index;

    private String apply(String change) {
        return new String(agreed.apply(++index, change.getBytes(StandardCharsets.UTF_8)),
                StandardCharsets.UTF_8);
    }

    @Test
    void changesMakeVersionsAndRefusalsDoNot() {
        assertThat(apply("{\"change\":\"drain\",\"subject\":\"s-1\",\"started\":5}"))
                .isEqualTo("{\"version\":1}");
        assertThat(apply("{\"change\":\"hold\",\"subject\":\"s-2\",\"reason\":\"disk\"}"))
                .isEqualTo("{\"version\":2}");
        assertThat(apply("{\"change\":\"back\",\"subject\":\"s-9\"}")).contains("refused")
                .contains("not-out");
        assertThat(apply("{\"change\":\"back\",\"subject\":\"s-1\"}")).isEqualTo("{\"version\":3}");
        assertThat(agreed.out()).containsOnlyKeys("s-2");
    }

    @Test
    void anImageBringsAllOfItBack() {
        apply("{\"change\":\"drain\",\"subject\":\"s-1\",\"started\":5}");
        apply("{\"change\":\"term\",\"subject\":\"price.crossing\",\"value\":0.25}");
        apply("{\"change\":\"budget\",\"subject\":\"crossing\",\"value\":0.1}");
        Agreed other = new Agreed();
        other.restore(agreed.image());
        assertThat(other.image()).isEqualTo(agreed.image());
        assertThat(other.version()).isEqualTo(3);
        assertThat(other.terms()).containsEntry("price.crossing", 0.25);
        other.restore(new byte[0]);
        assertThat(other.version()).isZero();
    }

    @Test
    void anImageOfAnotherFormatIsNotReadInPart() {
        assertThatThrownBy(() -> agreed.restore("{\"format\":2,\"version\":7}".getBytes()))
                .hasMessageContaining("format 2, this is 1");
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "{\"change\":\"melt\",\"subject\":\"s\"}|none of drain",
        "{\"change\":\"drain\"}|field subject: is missing",
        "{\"change\":\"drain\",\"subject\":\"s\",\"value\":1}|field value: has no meaning here",
        "{\"change\":\"term\",\"subject\":\"price.crossing\"}|field value: is missing",
        "{\"change\":\"term\",\"subject\":\"price.moon\",\"value\":1}|unknown-name",
        "{\"change\":\"term\",\"subject\":\"price.crossing\",\"value\":99}|out-of-range",
        "{\"change\":\"drain\",\"subject\":\"s\",\"colour\":1}|field colour: is not known",
        "{\"change\":\"drain\",\"subject\":\"s\",\"started\":-1}|field started",
        "[1]|no JSON object"})
    void whatCanNotBeTakenNamesTheField(String change, String what) {
        assertThat(apply(change)).contains("refused").contains(what);
        assertThat(agreed.version()).isZero();
    }
}
