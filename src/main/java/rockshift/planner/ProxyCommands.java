package rockshift.planner;

import rockshift.model.ClassSet;

/** Commands of one {@link Planner}, which its host carries out in the order of the calls. */
public interface ProxyCommands {
    /**
     * Maximum number of parts of one message, at the host that allows the fewest. A part is about
     * one table or one level.
     */
    int MAX_PARTS_PER_MESSAGE = 64;

    /**
     * Sets the weight of one table entry; 0 removes the entry.
     *
     * @return number of entries sent to each bound proxy for it
     */
    int setTableEntry(int table, long replica, double weight);

    /**
     * Tells a joined proxy to stop using a replica in any of its tables, or that it may use the
     * replica again. A host that notifies all proxies at once returns the entries of the named
     * proxy only.
     *
     * @return number of entries sent to the proxy for it; 0 if the proxy was told so before
     */
    int notifyDraining(long replica, boolean draining, int proxy);

    /**
     * Binds a joined proxy to a table for some classes.
     *
     * @return number of entries sent to the proxy in addition to those of the table, its levels and
     *     the binding
     */
    int bindProxy(int table, int proxy, ClassSet classes);

    /**
     * Sets the admission level of some classes of a table, and the retry mode of its proxies.
     *
     * @param retryMode 0 for no retries, 1 for retries after proof that the attempt did not run,
     *     above for retries after any failure
     */
    void setAdmissionLevel(int table, ClassSet classes, double level, int retryMode);

    /**
     * Returns the number of messages that this turn's commands for a proxy take; more than one if
     * they have too many parts for one.
     */
    default int messageCount(int proxy) {
        return 1;
    }

    /**
     * Ends this turn's messages with a serial number, which each proxy that is sent one
     * acknowledges.
     */
    void requestAcknowledgement(int serial);

    /**
     * Requests one call of {@link Planner#timerFired} after a delay in ticks of 100 microseconds.
     */
    void wakeAfter(long delayTicks);

    /**
     * Discards a replica that is permanently gone: it is in no table, and is not named again unless
     * discovery lists it again.
     */
    void forgetReplica(long replica);

    /** Writes a decision to the log: the event name, then {@code key=value} fields. */
    void log(String line);
}
