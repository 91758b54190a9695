package rockshift.server;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rockshift.model.ClassSet;

/**
 * What a proxy has been sent on its current channel: the tables that it is bound to, and which
 * replicas it may not send to. Used by the event loop's thread.
 */
final class JoinedProxy {
    private final ProxyChannel channel;

    /** By table, the classes that the proxy uses it for. */
    private final TreeMap<Integer, ClassSet> boundTables = new TreeMap<>();

    private final Set<Integer> boundThisTurn = new TreeSet<>();

    /** By replica, whether the last word to the proxy was to exclude it. */
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

    /** The proxy's tables, with the classes that they are bound for; not to be changed. */
    Map<Integer, ClassSet> boundTables() {
        return Collections.unmodifiableMap(boundTables);
    }

    Set<Long> excludedThisTurn() {
        return excludedThisTurn;
    }

    Set<Long> readmittedThisTurn() {
        return readmittedThisTurn;
    }

    /** Whether this turn has something for this proxy beside changes of its tables. */
    boolean hasNews() {
        return !boundThisTurn.isEmpty()
                || !excludedThisTurn.isEmpty()
                || !readmittedThisTurn.isEmpty();
    }

    /**
     * Announces whether the proxy may send to a replica, unless this channel has said so before.
     *
     * @return whether this turn's message grows by that
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
