package rockshift.capacity;

import java.util.Arrays;
import java.util.Locale;

/**
 * The resource usage of one real controller in one run at one size. Shares are of one core, rates
 * are per second, and memory is in MB, or NaN if the run did not measure it. A run is void if this
 * program itself was the bottleneck.
 */
public record ControllerSample(
        FleetShape shape,
        int run,
        double coreShare,
        double decisionShare,
        double socketShare,
        double bytesIn,
        double bytesOut,
        double messagesIn,
        double messagesOut,
        double discoveryBytesIn,
        double residentMegabytes,
        double peakMegabytes,
        double heapMegabytes,
        double heapCommittedMegabytes,
        double tablesSeconds,
        int tables,
        int connectionsLost,
        long reportsDropped,
        long rigLateMillis,
        double loadAverage,
        boolean isVoid,
        boolean died) {
    /** The column names of {@link #row()}. */
    public static final String HEADER =
            "replicas,classes,proxies,zones,run,core_share,decision_share,socket_share,bytes_in_s,"
                + "bytes_out_s,messages_in_s,messages_out_s,discovery_bytes_in_s,rss_mb,peak_mb,"
                + "heap_after_gc_mb,heap_committed_mb,tables_s,tables,"
                + "connections_lost,reports_dropped,rig_late_ms,load_average,void,died";

    /** Creates the sample of a run in which the controller's process exited by itself. */
    static ControllerSample died(
            FleetShape shape,
            int run,
            double tablesSeconds,
            int tables,
            int connectionsLost,
            double loadAverage) {
        double none = Double.NaN;
        return new ControllerSample(
                shape,
                run,
                none,
                none,
                none,
                none,
                none,
                none,
                none,
                none,
                none,
                none,
                none,
                none,
                tablesSeconds,
                tables,
                connectionsLost,
                0,
                0,
                loadAverage,
                false,
                true);
    }

    /** Parses a row of a table. */
    static ControllerSample parse(String row) {
        String[] fields = row.split(",");
        double[] values =
                Arrays.stream(fields, 0, fields.length - 2)
                        .mapToDouble(Double::parseDouble)
                        .toArray();
        FleetShape shape =
                new FleetShape((int) values[0], (int) values[1], (int) values[2], (int) values[3]);
        return new ControllerSample(
                shape,
                (int) values[4],
                values[5],
                values[6],
                values[7],
                values[8],
                values[9],
                values[10],
                values[11],
                values[12],
                values[13],
                values[14],
                values[15],
                values[16],
                values[17],
                (int) values[18],
                (int) values[19],
                (long) values[20],
                (long) values[21],
                values[22],
                Boolean.parseBoolean(fields[fields.length - 2]),
                Boolean.parseBoolean(fields[fields.length - 1]));
    }

    /** Returns the sample as a row of a table. */
    public String row() {
        return String.format(
                Locale.ROOT,
                "%d,%d,%d,%d,%d,%.4f,%.4f,%.4f,%.0f,%.0f,%.1f,%.1f,%.0f,%.1f,%.1f,%.1f,%.1f,%.2f,%d,%d,%d,"
                    + "%d,%.2f,%b,%b",
                shape.replicas(),
                shape.classes(),
                shape.proxies(),
                shape.zones(),
                run,
                coreShare,
                decisionShare,
                socketShare,
                bytesIn,
                bytesOut,
                messagesIn,
                messagesOut,
                discoveryBytesIn,
                residentMegabytes,
                peakMegabytes,
                heapMegabytes,
                heapCommittedMegabytes,
                tablesSeconds,
                tables,
                connectionsLost,
                reportsDropped,
                rigLateMillis,
                loadAverage,
                isVoid,
                died);
    }
}
