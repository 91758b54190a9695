package rockshift.planner;

/** What proxies of its own zone, or those of others, lately saw of a replica. */
final class ReplicaObservations {
    double tries;
    double lost;

    /** Answers past the promised time, where they came from afar. */
    double late;

    double busy;
    boolean shunned;
    long rest;
    long returned = Long.MIN_VALUE / 2;

    void add(double count, double failed, double slow, double load) {
        tries += count;
        lost += failed;
        late += slow;
        busy += load;
    }

    double failureShare() {
        return lost / tries;
    }

    void forget() {
        tries = lost = late = busy = 0;
        shunned = false;
    }

    void fade(double kept) {
        tries *= kept;
        lost *= kept;
        late *= kept;
        busy *= kept;
    }
}
