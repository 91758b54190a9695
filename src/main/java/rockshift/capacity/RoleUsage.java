package rockshift.capacity;

import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import rockshift.testkit.ProcessUsage;

/**
 * The resource usage of the processes of each role, from when a process is added until it is read.
 */
final class RoleUsage {
    static final String RELAY = "relay";
    private static final double NANOS_PER_SECOND = 1e9;

    /** A process and its role. */
    private record RoleProcess(String role, long pid) {}

    private final Map<RoleProcess, ProcessUsage> before = new HashMap<>();

    void add(String role, long pid) throws IOException {
        before.put(new RoleProcess(role, pid), ProcessUsage.of(pid));
    }

    /**
     * Returns the usage since the processes were added, by figure: the maximum over the processes
     * of each role. The bytes of all relays are also added up and divided by the number of
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
