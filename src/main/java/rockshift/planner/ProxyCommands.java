package rockshift.planner;

import rockshift.model.ClassSet;

/** What a host carries out for one instance of {@link Planner}, in the order of the calls. */
public interface ProxyCommands {
    /**
     * Parts that one message may have, at the host that allows the fewest. A part is about one
     * table or one level.
     */
    int MAX_PARTS_PER_MESSAGE = 64;

    /**
     * Sets the weight of one table entry; 0 removes the entry.
     *
     * @return entries that each bound proxy is sent for it
     */
    int setTableEntry(int table, long replica, double weight);

    /**
     * Tells a joined proxy to stop using a replica in whatever tables it has, or that it may use it
     * again. A host that tells all proxies at once only answers for each as it is named.
     *
     * @return entries that the proxy is sent for it: none where it was told so before
     */
    int notifyDraining(long replica, boolean draining, int proxy);

    /**
     * Binds a joined proxy to a table for some classes.
     *
     * @return entries that the proxy is sent beside those of the table, its levels and the binding
     */
    int bindProxy(int table, int proxy, ClassSet classes);

    /**
     * Sets the admission level of some classes of a table, and the retries of its proxies.
     *
     * @param retryMode 0 for none, 1 after proof that the attempt did not run, above after any
     *     failure
     */
    void setAdmissionLevel(int table, ClassSet classes, double level, int retryMode);

    /**
     * The messages that this turn's commands for a proxy come to; more than one where they have too
     * many parts.
     */
    default int messageCount(int proxy) {
        return 1;
    }

    /** Ends this turn's messages with a serial number, which each proxy reached acknowledges. */
    void requestAcknowledgement(int serial);

    /** Asks to be woken once after a delay in ticks of 100 microseconds. */
    void wakeAfter(long delayTicks);

    /**
     * Forgets a replica that is gone for good: it is in no table, and is not named again unless
     * discovery lists it anew.
     */
    void forgetReplica(long replica);

    /** Writes a decision to the log: one event, then {@code key=value} fields. */
    void log(String line);
}
