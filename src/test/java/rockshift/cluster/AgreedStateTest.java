package rockshift.cluster;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rockshift.distribution.Item;

/** Tests of changes to the agreed state, its snapshots, and the items published from it. */
class AgreedStateTest {
    private final AgreedState agreed = new AgreedState();
    private long index;

    private String apply(String change) {
        return new String(
                agreed.apply(++index, change.getBytes(StandardCharsets.UTF_8)),
                StandardCharsets.UTF_8);
    }

    @Test
    void appliedChangeIncrementsVersionAndRefusedChangeDoesNot() {
        assertThat(apply("{\"change\":\"drain\",\"subject\":\"s-1\",\"started\":5}"))
                .isEqualTo("{\"version\":1}");
        assertThat(apply("{\"change\":\"hold\",\"subject\":\"s-2\",\"reason\":\"disk\"}"))
                .isEqualTo("{\"version\":2}");
        assertThat(apply("{\"change\":\"back\",\"subject\":\"s-9\"}"))
                .contains("refused")
                .contains("not-out");
        assertThat(apply("{\"change\":\"back\",\"subject\":\"s-1\"}")).isEqualTo("{\"version\":3}");
        assertThat(agreed.drains()).containsOnlyKeys("s-2");
    }

    @Test
    void snapshotRestoresTheWholeState() {
        apply("{\"change\":\"drain\",\"subject\":\"s-1\",\"started\":5}");
        apply("{\"change\":\"term\",\"subject\":\"price.crossing\",\"value\":0.25}");
        apply("{\"change\":\"budget\",\"subject\":\"crossing\",\"value\":0.1}");
        AgreedState other = new AgreedState();
        other.restore(agreed.snapshot());
        assertThat(other.snapshot()).isEqualTo(agreed.snapshot());
        assertThat(other.version()).isEqualTo(3);
        assertThat(other.overrides()).containsEntry("price.crossing", 0.25);
        other.restore(new byte[0]);
        assertThat(other.version()).isZero();
    }

    /**
     * Logs and snapshots may contain changes from before they had a service and a zone. These must
     * be readable, and be encoded as before.
     */
    @Test
    void changeWithoutServiceAndZoneIsReadAndAppliesToAll() throws IOException {
        String before =
                "{\"change\":\"drain\",\"subject\":\"s-1\",\"started\":5,\"reason\":\"disk\"}";
        Change change = Change.read(before.getBytes(StandardCharsets.UTF_8));
        assertThat(change).isEqualTo(new Change(Change.Kind.DRAIN, "s-1", 5, 0, "disk", "", ""));
        assertThat(new String(change.json(), StandardCharsets.UTF_8))
                .as("encoding of a change without service and zone")
                .isEqualTo(before);
        agreed.restore(
                ("{\"format\":1,\"version\":7,\"out\":["
                                + before
                                + "],\"terms\":{},\"budgets\":{}}")
                        .getBytes(StandardCharsets.UTF_8));
        assertThat(agreed.drains()).containsEntry("s-1", change);
    }

    @Test
    void snapshotRestoresServiceAndZoneOfAChange() {
        apply("{\"change\":\"hold\",\"subject\":\"s-1\",\"service\":\"shop\",\"zone\":\"hall-a\"}");
        AgreedState other = new AgreedState();
        other.restore(agreed.snapshot());
        assertThat(other.drains().get("s-1"))
                .isEqualTo(new Change(Change.Kind.HOLD, "s-1", 0, 0, "", "shop", "hall-a"));
    }

    @Test
    void inZoneIgnoresInvalidZoneName() {
        Change hold = new Change(Change.Kind.HOLD, "s-1", 0, 0, "");
        assertThat(hold.inZone("hall-a").zone()).isEqualTo("hall-a");
        assertThat(hold.inZone("hall a").zone()).isEmpty();
        assertThat(hold.inZone("a".repeat(101)).zone()).isEmpty();
    }

    @Test
    void itemsConvertToChangesAndBack() throws IOException {
        apply("{\"change\":\"drain\",\"subject\":\"s-1\",\"started\":5,\"zone\":\"hall-a\"}");
        apply(
                "{\"change\":\"term\",\"subject\":\"price.crossing\",\"value\":0.25,\"reason\":\"why\"}");
        List<Item> items = AgreedItems.all(agreed);
        assertThat(items).extracting(Item::key).containsExactly("out/s-1", "term/price.crossing");
        assertThat(items.get(0).zone()).isEqualTo("hall-a");
        assertThat(AgreedItems.change(items.get(0))).isEqualTo(agreed.drains().get("s-1"));
        assertThat(AgreedItems.change(items.get(1)).value()).isEqualTo(0.25);
        String term =
                "{\"change\":\"term\",\"subject\":\"price.crossing\",\"value\":0.25,\"reason\":\"x\"}";
        assertThat(items.get(1))
                .as("same item from the log and from a snapshot")
                .isEqualTo(AgreedItems.item(Change.read(term.getBytes(StandardCharsets.UTF_8))));
        assertThatThrownBy(
                        () -> AgreedItems.change(new Item("out/s-2", "", "", items.get(0).value())))
                .hasMessageContaining("does not match the item key out/s-2");
    }

    @Test
    void snapshotOfAnotherFormatIsRefused() {
        assertThatThrownBy(() -> agreed.restore("{\"format\":2,\"version\":7}".getBytes()))
                .hasMessageContaining("unsupported format 2, expected 1");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"change\":\"melt\",\"subject\":\"s\"}|none of drain",
                "{\"change\":\"drain\"}|field subject: is missing",
                "{\"change\":\"drain\",\"subject\":\"s\",\"value\":1}|field value: has no meaning"
                        + " here",
                "{\"change\":\"term\",\"subject\":\"price.crossing\"}|field value: is missing",
                "{\"change\":\"term\",\"subject\":\"price.moon\",\"value\":1}|unknown-name",
                "{\"change\":\"term\",\"subject\":\"price.crossing\",\"value\":99}|out-of-range",
                "{\"change\":\"drain\",\"subject\":\"s\",\"colour\":1}|field colour: is not known",
                "{\"change\":\"drain\",\"subject\":\"s\",\"started\":-1}|field started",
                "{\"change\":\"drain\",\"subject\":\"s\",\"zone\":\"a b\"}|field zone: must be"
                        + " letters",
                "{\"change\":\"drain\",\"subject\":\"s\",\"service\":7}|field service: must be text"
                        + " of at most 100",
                "{\"change\":\"back\",\"subject\":\"s\",\"zone\":\"a\"}|field zone: has no meaning"
                        + " here",
                "{\"change\":\"term\",\"subject\":\"price.orders\",\"value\":1,\"service\":\"a\"}|field"
                    + " service: has no meaning",
                "[1]|no JSON object"
            })
    void invalidChangeIsRefusedWithItsField(String change, String what) {
        assertThat(apply(change)).contains("refused").contains(what);
        assertThat(agreed.version()).isZero();
    }
}
