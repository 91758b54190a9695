package rockshift.scale;

import java.util.Locale;

/**
 * What one real governor used in one run at one size. Shares are of one core; rates are a second; memory is
 * in MB, and NaN where the run did not watch it. A run is void where the rig itself was the limit.
 */
public record GovernorSample(FleetShape shape, int run, double coreShare, double decisionShare,
        double socketShare,
        double bytesIn, double bytesOut, double messagesIn, double messagesOut, double discoveryBytesIn,
        double residentMegabytes, double peakMegabytes, double heapMegabytes, double heapCommittedMegabytes,
        double tablesSeconds, int tables,
        int connectionsLost, long reportsDropped, long rigLateMillis, double loadAverage, boolean isVoid) {
    /** The names of {@link #row()}'s fields. */
    public static final String HEADER =
            "replicas,classes,proxies,zones,run,core_share,decision_share,socket_share,bytes_in_s,"
                    + "bytes_out_s,messages_in_s,messages_out_s,discovery_bytes_in_s,rss_mb,peak_mb,"
                    + "heap_after_gc_mb,heap_committed_mb,tables_s,tables,"
                    + "connections_lost,reports_dropped,rig_late_ms,load_average,void";

    /** One line of a table. */
    public String row() {
        return String.format(Locale.ROOT,
                "%d,%d,%d,%d,%d,%.4f,%.4f,%.4f,%.0f,%.0f,%.1f,%.1f,%.0f,%.1f,%.1f,%.1f,%.1f,%.2f,%d,%d,%d,"
                        + "%d,%.2f,%b",
                shape.replicas(), shape.classes(), shape.proxies(), shape.zones(), run, coreShare,
                decisionShare, socketShare, bytesIn, bytesOut, messagesIn, messagesOut, discoveryBytesIn,
                residentMegabytes, peakMegabytes,
                heapMegabytes, heapCommittedMegabytes, tablesSeconds, tables, connectionsLost, reportsDropped,
                rigLateMillis,
                loadAverage, isVoid);
    }
}
