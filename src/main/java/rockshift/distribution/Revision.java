package rockshift.distribution;

/**
 * A point in the stream of agreed changes. Numbers grow by one stream for each cluster and mean the
 * same on every member and relay, so that a subscriber can resume anywhere.
 *
 * @param cluster the cluster that wrote the stream
 * @param number the version within it; 0 before the first change
 */
public record Revision(long cluster, long number) {
    /** The revision of a subscriber before its first snapshot. */
    public static final Revision NONE = new Revision(0, 0);

    /** Whether it is {@link #NONE}. */
    public boolean isNone() {
        return equals(NONE);
    }

    /** Whether both were written by one cluster, so that their numbers can be compared. */
    public boolean sameCluster(Revision other) {
        return cluster == other.cluster;
    }

    @Override
    public String toString() {
        return Long.toHexString(cluster) + "/" + number;
    }
}
