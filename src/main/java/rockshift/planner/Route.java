package rockshift.planner;

/**
 * The path from a routing table to a replica; the paper's path, with that replica as its only link.
 * {@link AlphaFairSolver} owns the iterates, {@link TargetWeights} the target, {@link
 * TablePublisher} what is published.
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

    // ---- eligibility, as of the last planning round --------------------------------------------

    /** Whether the table may have an entry for it, see {@link RouteEligibility}. */
    boolean isAllowed() {
        return allowed;
    }

    /** Whether it is allowed and the replica is not ejected for the table's proxies. */
    boolean isOpen() {
        return open;
    }

    void setEligibility(boolean nowAllowed, boolean nowOpen) {
        allowed = nowAllowed;
        open = nowOpen;
    }

    // ---- iterates of the solver ----------------------------------------------------------------

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

    /** The consensus step: the mean of both copies, and the dual that follows it. */
    void averageCopies(double penalty) {
        consensus = (requestCopy + linkCopy) / 2;
        dual += (requestCopy - consensus) / penalty;
    }

    /** Scales both copies. */
    void scaleCopies(double factor) {
        requestCopy = requestCopy * factor;
        linkCopy = linkCopy * factor;
    }

    /** Starts both copies at a rate. */
    void startCopies(double rate) {
        requestCopy = rate;
        linkCopy = rate;
    }

    void startDual(double value) {
        dual = value;
    }

    // ---- weights -------------------------------------------------------------------------------

    /** The part of its table that it should have. */
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
