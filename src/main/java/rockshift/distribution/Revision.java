package rockshift.distribution;

/**
 * A position in the stream of agreed changes of a cluster. Each cluster has one stream, and a
 * number denotes the same state on every member and relay, so that a subscriber can resume at any
 * of them.
 *
 * @param cluster the cluster that wrote the stream
 * @param number the version within the stream; 0 before the first change
 */
public record Revision(long cluster, long number) {
    /** The revision of a subscriber before its first snapshot. */
    public static final Revision NONE = new Revision(0, 0);

    /** Returns whether this is {@link #NONE}. */
    public boolean isNone() {
        return equals(NONE);
    }

    /**
     * Returns whether both revisions belong to the same cluster, so that their numbers can be
     * compared.
     */
    public boolean sameCluster(Revision other) {
        return cluster == other.cluster;
    }

    @Override
    public String toString() {
        return Long.toHexString(cluster) + "/" + number;
    }
}
