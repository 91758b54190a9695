package rockshift.distribution.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import rockshift.distribution.DistributionMessage;
import rockshift.distribution.Item;
import rockshift.distribution.Limits;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Summary;
import rockshift.distribution.Update;
import rockshift.wire.CborWriter;
import rockshift.wire.Frames;

/** Encoding and decoding of all messages; decoding errors name the field. */
class DistributionCodecTest {
    private static Item item(SplittableRandom random) {
        byte[] value = new byte[random.nextInt(300)];
        random.nextBytes(value);
        return new Item(
                "out/s-" + random.nextInt(9),
                random.nextBoolean() ? "" : "shop",
                "hall-" + random.nextInt(3),
                value);
    }

    private static Revision revision(SplittableRandom random) {
        return new Revision(random.nextLong(), random.nextLong(Long.MAX_VALUE));
    }

    private static DistributionMessage anyMessage(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long epoch = random.nextInt(9);
        List<Item> items = new ArrayList<>();
        List<Update> updates = new ArrayList<>();
        for (int remaining = random.nextInt(5); remaining > 0; remaining--) {
            items.add(item(random));
            updates.add(
                    random.nextBoolean()
                            ? Update.put(remaining, item(random))
                            : Update.delete(remaining, item(random)));
        }
        RejectionReason reason =
                RejectionReason.values()[random.nextInt(RejectionReason.values().length)];
        return switch (random.nextInt(8)) {
            case 0 ->
                    new DistributionMessage.Subscribe(
                            "g-1",
                            epoch,
                            Scope.of(Set.of("shop", "a"), Set.of("hall-a")),
                            revision(random),
                            random.nextLong());
            case 1 ->
                    new DistributionMessage.Subscribe("g-1", epoch, Scope.all(), Revision.NONE, 1);
            case 2 ->
                    new DistributionMessage.Acknowledge(
                            epoch,
                            revision(random),
                            random.nextInt(9),
                            new Summary(random.nextInt(9), 3, 2, 1, random.nextLong()),
                            random.nextLong());
            case 3 ->
                    new DistributionMessage.SnapshotPart(
                            epoch, revision(random), 1, 3, random.nextLong(), items);
            case 4 ->
                    new DistributionMessage.Difference(
                            epoch, revision(random), revision(random), random.nextLong(), updates);
            case 5 ->
                    new DistributionMessage.Heartbeat(
                            epoch, revision(random), random.nextLong(), 7, random.nextLong());
            case 6 -> new DistributionMessage.Notice(epoch, reason, "scope.zones 'x'");
            default -> new DistributionMessage.Rejected(epoch, reason, "field held", 200);
        };
    }

    @Property(tries = 500)
    void messagesRoundTrip(@ForAll long seed) throws IOException {
        DistributionMessage message = anyMessage(seed);
        assertThat(DistributionCodec.read(DistributionCodec.write(message))).isEqualTo(message);
    }

    @Property(tries = 500)
    void corruptBytesAreRejectedWithTheFieldOrDecodeToAnotherMessage(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 5_000) int position,
            @ForAll byte replacement)
            throws IOException {
        byte[] bytes = DistributionCodec.write(anyMessage(seed));
        bytes[position % bytes.length] = replacement;
        try {
            assertThat(DistributionCodec.read(bytes)).isNotNull();
        } catch (IOException rejected) {
            assertThat(rejected.getMessage())
                    .startsWith("field ")
                    .hasSizeLessThan(300)
                    .doesNotContain("Source");
        }
    }

    @Property(tries = 300)
    void truncatedOrTrailingBytesAreRejectedWithTheField(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 5_000) int position)
            throws IOException {
        byte[] bytes = DistributionCodec.write(anyMessage(seed));
        assertThatThrownBy(
                        () -> DistributionCodec.read(Arrays.copyOf(bytes, position % bytes.length)))
                .isInstanceOf(IOException.class)
                .hasMessageStartingWith("field ");
        assertThatThrownBy(() -> DistributionCodec.read(Arrays.copyOf(bytes, bytes.length + 1)))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("more than one item");
    }

    private static void assertRejected(String expectedMessage, DistributionMessage message)
            throws IOException {
        byte[] bytes = DistributionCodec.write(message);
        assertThatThrownBy(() -> DistributionCodec.read(bytes))
                .isInstanceOf(IOException.class)
                .hasMessageContaining(expectedMessage);
    }

    @Test
    void valuesBeyondALimitAreRejectedWithTheField() throws IOException {
        Limits.Sizes sizes = Limits.standard().sizes();
        Revision revision = new Revision(1, 1);
        assertRejected(
                "field subscriber: text of 201",
                new DistributionMessage.Subscribe(
                        "g".repeat(sizes.maxNameLength() + 1), 1, Scope.all(), revision, 0));
        assertRejected(
                "field items.value: a value of",
                new DistributionMessage.SnapshotPart(
                        1,
                        revision,
                        0,
                        1,
                        0,
                        List.of(new Item("k", "", "", new byte[sizes.maxItemBytes() + 1]))));
        assertRejected(
                "field items.key: text of",
                new DistributionMessage.SnapshotPart(
                        1,
                        revision,
                        0,
                        1,
                        0,
                        List.of(new Item("k".repeat(513), "", "", new byte[0]))));
        assertRejected(
                "field staleMillis: -1 out of range",
                new DistributionMessage.Heartbeat(1, revision, 0, -1, 0));
        assertRejected(
                "field scopeEpoch: -1 out of range",
                new DistributionMessage.Heartbeat(-1, revision, 0, 0, 0));
        List<Item> many = new ArrayList<>();
        for (int i = 0; i <= sizes.maxPartItems(); i++) {
            many.add(new Item("k" + i, "", "", new byte[0]));
        }
        assertRejected(
                "field items: " + many.size() + " out of range",
                new DistributionMessage.SnapshotPart(1, revision, 0, 1, 0, many));
    }

    @Test
    void largestPartAndDifferenceFitIntoAFrame() throws IOException {
        Limits.Sizes sizes = Limits.standard().sizes();
        Item largest =
                new Item(
                        "k".repeat(512),
                        "s".repeat(sizes.maxNameLength()),
                        "z".repeat(sizes.maxNameLength()),
                        new byte[sizes.maxItemBytes()]);
        List<Item> items = new ArrayList<>();
        List<Update> updates = new ArrayList<>();
        for (int bytes = 0; bytes < sizes.maxPartBytes(); bytes += largest.bytes()) {
            items.add(largest);
            updates.add(Update.put(Long.MAX_VALUE, largest));
        }
        Revision revision = new Revision(Long.MAX_VALUE, Long.MAX_VALUE);
        assertThat(
                        DistributionCodec.write(
                                new DistributionMessage.SnapshotPart(1, revision, 0, 1, -1, items)))
                .hasSizeLessThan(Frames.MAX_FRAME_BYTES);
        assertThat(
                        DistributionCodec.write(
                                new DistributionMessage.Difference(
                                        1, revision, revision, -1, updates)))
                .hasSizeLessThan(Frames.MAX_FRAME_BYTES);
    }

    @Test
    void unsortedScopeNamesAreRejected() throws IOException {
        CborWriter out = new CborWriter();
        out.startArray()
                .add(0, 1)
                .text("g")
                .bool(false)
                .add(2)
                .text("b")
                .text("a")
                .add(0)
                .add(0, 0, 0)
                .endArray();
        byte[] bytes = out.end();
        assertThatThrownBy(() -> DistributionCodec.read(bytes))
                .hasMessageContaining(
                        "field scope.services: names that are not in strictly ascending order");
    }
}
