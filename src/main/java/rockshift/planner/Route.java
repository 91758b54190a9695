package rockshift.planner;

/**
 * Path from a routing table to a replica; in the paper's terms (see {@link AlphaFairSolver}), a
 * path whose only link is that replica. {@link AlphaFairSolver} owns the iterates, {@link
 * TargetWeights} the target fraction, and {@link TablePublisher} the published weight.
 */
final class Route {
    private final RoutingTable table;
    private final Replica replica;
    private final boolean ownZone;
    private double requestCopy;
    private double linkCopy;
    private double consensus;
    private double dual;
    private double targetFraction;
    private double publishedWeight;
    private boolean allowed;
    private boolean open;

    Route(RoutingTable table, Replica replica) {
        this.table = table;
        this.replica = replica;
        ownZone = table.group().isInZoneOf(replica);
        replica.attach(this);
    }

    RoutingTable table() {
        return table;
    }

    Replica replica() {
        return replica;
    }

    /** Whether the replica is in the zone of the table's proxies. */
    boolean isOwnZone() {
        return ownZone;
    }

    /**
     * Whether the table may have an entry for it, as of the last planning round; see {@link
     * RouteEligibility}.
     */
    boolean isAllowed() {
        return allowed;
    }

    /**
     * Whether it is allowed and the replica is not ejected for the table's proxies, as of the last
     * planning round.
     */
    boolean isOpen() {
        return open;
    }

    void setEligibility(boolean nowAllowed, boolean nowOpen) {
        allowed = nowAllowed;
        open = nowOpen;
    }

    /** The link's copy of the rate: z in the paper. */
    double linkCopy() {
        return linkCopy;
    }

    /** Mean of both copies: x-bar in the paper. */
    double consensus() {
        return consensus;
    }

    /** The scaled dual of the request's copy; that of the link's copy is its negative. */
    double dual() {
        return dual;
    }

    /** Sets the request's copy of the rate: x in the paper. */
    void setRequestCopy(double rate) {
        requestCopy = rate;
    }

    void setLinkCopy(double rate) {
        linkCopy = rate;
    }

    /** Consensus step: sets the consensus to the mean of both copies and updates the dual by it. */
    void averageCopies(double penalty) {
        consensus = (requestCopy + linkCopy) / 2;
        dual += (requestCopy - consensus) / penalty;
    }

    void scaleCopies(double factor) {
        requestCopy = requestCopy * factor;
        linkCopy = linkCopy * factor;
    }

    /** Sets both copies to an initial rate. */
    void initializeCopies(double rate) {
        requestCopy = rate;
        linkCopy = rate;
    }

    void initializeDual(double value) {
        dual = value;
    }

    /** Target fraction of the table's weights. */
    double targetFraction() {
        return targetFraction;
    }

    void setTargetFraction(double fraction) {
        targetFraction = fraction;
    }

    /** The weight in the published table; 0 for no entry. */
    double publishedWeight() {
        return publishedWeight;
    }

    void setPublishedWeight(double weight) {
        publishedWeight = weight;
    }
}
