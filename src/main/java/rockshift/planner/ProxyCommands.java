package rockshift.planner;

import rockshift.model.ClassSet;

/** What a host carries out for one instance of {@link Planner}, in the order of the calls. */
public interface ProxyCommands {
    /**
     * Parts that one message may have, by the host that allows the fewest: each tells of one table,
     * or of a level.
     */
    int MAX_PARTS_PER_MESSAGE = 64;

    /**
     * Sets one line of a table; weight 0 removes it. Answers how many lines each bound proxy is
     * sent.
     */
    int setTableEntry(int table, long replica, double weight);

    /**
     * Shuts a replica out of everything that a joined proxy holds, or lets it in again. Answers how
     * many lines the proxy is sent for it: none where it was told so before. A host that can tell
     * all proxies at once only answers for each as it is named.
     */
    int notifyDraining(long replica, boolean out, int proxy);

    /**
     * Puts a joined proxy on a table for some classes. Answers how many lines the proxy is sent
     * beside those of the table, its levels and the one for the binding.
     */
    int bindProxy(int table, int proxy, ClassSet classes);

    /**
     * Sets the admitted level of some classes of a table, and how often its proxies try again (0 to
     * 3).
     */
    void setAdmissionLevel(int table, ClassSet classes, double level, int again);

    /**
     * How many messages this turn's orders for a proxy come to; more than one where they have too
     * many parts.
     */
    default int messageCount(int proxy) {
        return 1;
    }

    /** Numbers the messages of this turn; each proxy reached answers with the number. */
    void requestAcknowledgement(int serial);

    /** Asks to be woken once after a delay in tenths of a millisecond. */
    void wakeAfter(long delay);

    /**
     * Tells that a replica left for good: it stands in no table, and is not named again unless it
     * is listed anew.
     */
    void forgetReplica(long replica);

    /** Leaves a line for the staff on call. */
    void log(String line);
}
