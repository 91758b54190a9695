package rockshift.distribution;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Tests of the store alone: the differences it computes, the revisions it resumes from, and the
 * changes it rejects.
 */
class ConfigurationStoreTest {
    private static final long CLUSTER = 7;
    private static final List<Scope> SCOPES =
            List.of(
                    Scope.all(),
                    Scope.of(List.of("s1"), List.of()),
                    Scope.of(List.of(), List.of("z1")),
                    Scope.of(List.of("s0", "s2"), List.of("z0")),
                    Scope.of(List.of("s1", "s2"), List.of("z0", "z1")));

    private ConfigurationStore store = newStore();

    @Property(tries = 300)
    void differenceFromAnyRevisionLeadsToTheScopedState(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int changes)
            throws RejectionException {
        Random random = new Random(seed);
        store = newStore();
        store.reset(revision(0), List.of());
        List<List<Item>> states = new ArrayList<>(List.of(List.of()));
        for (int number = 1; number <= changes; number++) {
            store.apply(revision(number), List.of(change(random, number)));
            states.add(store.snapshot(Scope.all()));
        }
        for (Scope scope : SCOPES) {
            for (int from = 0; from <= changes; from++) {
                ScopeDelta delta = store.deltaSince(revision(from), scope).orElseThrow();
                Map<String, Item> result = scoped(states.get(from), scope);
                long before = digest(result);
                apply(result, delta.updates());
                assertThat(result).isEqualTo(scoped(states.get(changes), scope));
                assertThat(digest(result))
                        .isEqualTo(store.digest(scope))
                        .isEqualTo(before + delta.digestChange());
            }
        }
    }

    @Property(tries = 300)
    void storeUpdatedByCoalescedDifferencesResumesFromSkippedRevisions(@ForAll long seed)
            throws RejectionException {
        Random random = new Random(seed);
        store = newStore();
        ConfigurationStore relay = newStore();
        store.reset(revision(0), List.of());
        relay.reset(revision(0), List.of());
        List<List<Item>> states = new ArrayList<>(List.of(List.of()));
        int changes = 30;
        for (int number = 1; number <= changes; number++) {
            store.apply(revision(number), List.of(change(random, number)));
            states.add(store.snapshot(Scope.all()));
            if (random.nextInt(4) == 0 || number == changes) {
                relay.apply(
                        revision(number),
                        store.differenceSince(relay.current(), Scope.all()).orElseThrow());
            }
        }
        for (Scope scope : SCOPES) {
            for (int from = 0; from <= changes; from++) {
                Map<String, Item> result = scoped(states.get(from), scope);
                apply(result, relay.differenceSince(revision(from), scope).orElseThrow());
                assertThat(result).isEqualTo(scoped(states.get(changes), scope));
            }
        }
    }

    @Test
    void resetAtALaterRevisionIsRecordedAsADifference() throws RejectionException {
        store.reset(revision(3), List.of(item("a", "s1", "", "1"), item("b", "s1", "", "1")));
        store.reset(revision(9), List.of(item("a", "s1", "", "2"), item("c", "s1", "", "1")));
        assertThat(store.differenceSince(revision(3), SCOPES.get(1)).orElseThrow())
                .containsExactlyInAnyOrder(
                        Update.put(9, item("a", "s1", "", "2")),
                        Update.delete(9, item("b", "s1", "", "")),
                        Update.put(9, item("c", "s1", "", "1")));
        assertThat(store.differenceSince(revision(5), SCOPES.get(1)))
                .as("difference from a revision that the reset skipped")
                .isEmpty();
    }

    @Test
    void compactedRevisionCannotBeResumedFrom() throws RejectionException {
        ConfigurationStore small = new ConfigurationStore(TestLimits.small(3, 10, 10).sizes());
        small.reset(revision(0), List.of());
        for (int number = 1; number <= 5; number++) {
            small.apply(
                    revision(number), List.of(Update.put(number, item("k" + number, "", "", "v"))));
        }
        assertThat(small.compactedThrough()).isEqualTo(revision(2));
        assertThat(small.differenceSince(revision(1), Scope.all())).isEmpty();
        assertThat(small.differenceSince(revision(2), Scope.all())).get().asList().hasSize(3);
        assertThat(small.differenceSince(revision(6), Scope.all()))
                .as("difference from a later revision")
                .isEmpty();
        assertThat(small.differenceSince(new Revision(8, 5), Scope.all()))
                .as("difference from a revision of another cluster")
                .isEmpty();
    }

    @Test
    void rejectedChangeLeavesTheStoreUnchanged() throws RejectionException {
        store.reset(revision(5), List.of(item("a", "", "", "1")));
        Update valid = Update.put(6, item("b", "", "", "1"));
        assertRejected(() -> store.apply(revision(5), List.of()), RejectionReason.OUT_OF_ORDER);
        assertRejected(
                () -> store.apply(new Revision(8, 6), List.of(valid)),
                RejectionReason.OTHER_CLUSTER);
        assertRejected(
                () ->
                        store.apply(
                                revision(6), List.of(valid, Update.put(7, item("c", "", "", "1")))),
                RejectionReason.OUT_OF_ORDER);
        assertRejected(
                () ->
                        store.apply(
                                revision(6),
                                List.of(
                                        valid,
                                        Update.put(6, item("c", "", "", "x".repeat(2_000))))),
                RejectionReason.TOO_LARGE);
        assertRejected(() -> store.reset(revision(4), List.of()), RejectionReason.OUT_OF_ORDER);
        assertRejected(
                () -> store.reset(revision(6), List.of(valid.item(), valid.item())),
                RejectionReason.MALFORMED);
        assertThat(store.current()).isEqualTo(revision(5));
        assertThat(store.snapshot(Scope.all())).containsExactly(item("a", "", "", "1"));
    }

    @Test
    void itemMovedToAnotherServiceIsDeletedFromTheOldScope() throws RejectionException {
        store.reset(revision(0), List.of(item("a", "s1", "", "1")));
        store.apply(revision(1), List.of(Update.put(1, item("a", "s2", "", "1"))));
        Optional<List<Update>> difference = store.differenceSince(revision(0), SCOPES.get(1));
        assertThat(difference.orElseThrow()).singleElement().matches(Update::deleted);
        assertThat(store.firstUnknownName(Scope.of(List.of("s1"), List.of())))
                .isEqualTo("services 's1'");
    }

    private static ConfigurationStore newStore() {
        return new ConfigurationStore(TestLimits.small(100, 10, 100).sizes());
    }

    private static void assertRejected(
            org.assertj.core.api.ThrowableAssert.ThrowingCallable call, RejectionReason reason) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        RejectionException.class,
                        rejection -> assertThat(rejection.reason()).isEqualTo(reason));
    }

    private static Update change(Random random, long number) {
        String key = "k" + random.nextInt(6);
        if (random.nextInt(4) == 0) {
            return Update.delete(number, item(key, "", "", ""));
        }
        String service = random.nextInt(5) == 0 ? "" : "s" + random.nextInt(3);
        String zone = random.nextInt(3) == 0 ? "" : "z" + random.nextInt(2);
        return Update.put(number, item(key, service, zone, "v" + random.nextInt(3)));
    }

    private static Map<String, Item> scoped(List<Item> state, Scope scope) {
        Map<String, Item> scoped = new TreeMap<>();
        state.stream().filter(scope::matches).forEach(item -> scoped.put(item.key(), item));
        return scoped;
    }

    private static void apply(Map<String, Item> state, List<Update> updates) {
        for (Update update : updates) {
            if (update.deleted()) {
                state.remove(update.item().key());
            } else {
                state.put(update.item().key(), update.item());
            }
        }
    }

    private static long digest(Map<String, Item> state) {
        return state.values().stream().mapToLong(Item::digest).sum();
    }

    static Item item(String key, String service, String zone, String value) {
        return new Item(key, service, zone, value.getBytes(StandardCharsets.UTF_8));
    }

    private static Revision revision(long number) {
        return new Revision(CLUSTER, number);
    }
}
