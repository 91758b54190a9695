package rockshift.capacity;

import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import rockshift.testkit.ProcessUsage;

/**
 * What the processes of each role have used, from when they were added until they are asked for.
 */
final class RoleUsage {
    static final String RELAY = "relay";
    private static final double NANOS_PER_SECOND = 1e9;

    /** One process and what it is there for. */
    private record RoleProcess(String role, long pid) {}

    private final Map<RoleProcess, ProcessUsage> before = new HashMap<>();

    void add(String role, long pid) throws IOException {
        before.put(new RoleProcess(role, pid), ProcessUsage.of(pid));
    }

    /**
     * The most that a process of each role used since, by figure; what relays passed is shared by
     * controllers.
     */
    Map<String, Double> since(int controllers) throws IOException {
        Map<String, Double> figures = new LinkedHashMap<>();
        for (Map.Entry<RoleProcess, ProcessUsage> each : before.entrySet()) {
            ProcessUsage then = each.getValue();
            ProcessUsage now = ProcessUsage.of(each.getKey().pid());
            String role = each.getKey().role();
            double seconds = (now.takenNanos() - then.takenNanos()) / NANOS_PER_SECOND;
            double read = (now.bytesRead() - then.bytesRead()) / seconds;
            double written = (now.bytesWritten() - then.bytesWritten()) / seconds;
            if (role.equals(RELAY)) {
                figures.merge(
                        "governor, bytes a second", (read + written) / controllers, Double::sum);
            }
            figures.merge(role + ", share of a core", now.coreShareSince(then), Math::max);
            figures.merge(role + ", bytes a second read", read, Math::max);
            figures.merge(role + ", bytes a second written", written, Math::max);
            figures.merge(role + ", most MB resident", now.peakMegabytes(), Math::max);
            figures.merge("steady for, s", seconds, Math::max);
        }
        return figures;
    }
}
