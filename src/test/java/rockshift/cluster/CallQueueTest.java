package rockshift.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CallQueueTest {
    private final CallQueue<String> queue = new CallQueue<>();
    private final List<String> executed = new ArrayList<>();

    private void add(String caller, int count) {
        for (int i = 0; i < count; i++) {
            String call = caller + i;
            queue.add(caller, () -> executed.add(call));
        }
    }

    private void executeAll() {
        while (!queue.isEmpty()) {
            queue.remove().run();
        }
    }

    /** Guards against a caller whose many calls delay those of others. */
    @Test
    void callersTakeTurns() {
        add("flood", 1_000);
        add("a", 2);
        add("b", 1);
        executeAll();
        assertThat(executed)
                .startsWith("flood0", "a0", "b0", "flood1", "a1", "flood2")
                .hasSize(1_003);
    }

    /** Guards against calls that are executed although their caller has gone. */
    @Test
    void callsOfACallerThatHasGoneAreDropped() {
        add("gone", 100);
        add("a", 1);
        queue.remove().run();
        queue.drop("gone");
        executeAll();
        assertThat(executed).containsExactly("gone0", "a0");
    }
}
