package rockshift.server;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rockshift.model.ClassSet;

/**
 * The state that a proxy has been sent on its current channel: the tables that it is bound to, and
 * the replicas that it may not send to. Used only by the event loop's thread.
 */
final class JoinedProxy {
    private final ProxyChannel channel;

    /** The classes that the proxy uses a table for, by table. */
    private final TreeMap<Integer, ClassSet> boundTables = new TreeMap<>();

    private final Set<Integer> boundThisTurn = new TreeSet<>();

    /** Whether the last announcement of a replica to the proxy excluded it, by replica id. */
    private final Map<Long, Boolean> announcedExclusions = new HashMap<>();

    private final Set<Long> excludedThisTurn = new TreeSet<>();
    private final Set<Long> readmittedThisTurn = new TreeSet<>();

    JoinedProxy(ProxyChannel channel) {
        this.channel = channel;
    }

    ProxyChannel channel() {
        return channel;
    }

    void bind(int table, ClassSet classes) {
        boundTables.put(table, classes);
        boundThisTurn.add(table);
    }

    boolean isBoundTo(int table) {
        return boundTables.containsKey(table);
    }

    boolean wasBoundThisTurn(int table) {
        return boundThisTurn.contains(table);
    }

    /**
     * Returns an unmodifiable view of the proxy's tables and the classes that they are bound for.
     */
    Map<Integer, ClassSet> boundTables() {
        return Collections.unmodifiableMap(boundTables);
    }

    Set<Long> excludedThisTurn() {
        return excludedThisTurn;
    }

    Set<Long> readmittedThisTurn() {
        return readmittedThisTurn;
    }

    /** Returns whether this turn has anything for this proxy besides changes of its tables. */
    boolean hasProxySpecificChanges() {
        return !boundThisTurn.isEmpty()
                || !excludedThisTurn.isEmpty()
                || !readmittedThisTurn.isEmpty();
    }

    /**
     * Announces whether the proxy may send to a replica, unless the last announcement on this
     * channel was the same.
     *
     * @return whether this adds an entry to this turn's message
     */
    boolean announceExclusion(long replica, boolean excluded) {
        Boolean before = announcedExclusions.put(replica, excluded);
        if (before != null && before == excluded) {
            return false;
        }
        (excluded ? readmittedThisTurn : excludedThisTurn).remove(replica);
        return (excluded ? excludedThisTurn : readmittedThisTurn).add(replica);
    }

    void forgetReplica(long replica) {
        announcedExclusions.remove(replica);
    }

    void endTurn() {
        boundThisTurn.clear();
        excludedThisTurn.clear();
        readmittedThisTurn.clear();
    }
}
