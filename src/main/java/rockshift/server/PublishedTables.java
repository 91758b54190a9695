package rockshift.server;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.model.ClassSet;
import rockshift.model.Endpoint;
import rockshift.planner.ProxyCommands;
import rockshift.settings.ClassNames;

/**
 * Executes the planner's commands. It keeps the state of all tables, levels, bindings and
 * exclusions, and sends each joined proxy the changes of a turn, in one message or as few as the
 * protocol allows. Commands return how many entries they put into messages, because the planner
 * counts the entries that the channel carries. Used only by the event loop's thread.
 */
final class PublishedTables implements ProxyCommands {
    private static final Logger LOG = LoggerFactory.getLogger(PublishedTables.class);

    /** A replica in a log line of the planner, which only knows replicas by number. */
    private static final Pattern REPLICA_NUMBER = Pattern.compile("(?<=\\breplica=)\\d+");

    private final LongConsumer waker;
    private final UpdatePartEncoder encoder;
    private final ReplicaExclusions exclusions = new ReplicaExclusions();
    private final Map<Integer, PublishedTable> tables = new HashMap<>();
    private final TreeMap<Integer, JoinedProxy> proxies = new TreeMap<>();

    private final Set<PublishedTable> changedThisTurn = new HashSet<>();
    private final Set<PublishedTable> sentWholeThisTurn = new HashSet<>();

    /** The serial number by which proxies acknowledge this turn's messages; 0 for none. */
    private int serial;

    /**
     * @param waker receives the delay, in ticks, after which the planner requests to be woken
     */
    PublishedTables(ClassNames classNames, LongConsumer waker) {
        this.waker = waker;
        encoder = new UpdatePartEncoder(classNames);
    }

    /**
     * Records the names of listed replicas, and whether they may have been excluded. Called before
     * the planner can issue commands for them.
     */
    void endpointsListed(List<Endpoint> endpoints, boolean changesOnly, Map<Long, String> names) {
        for (Endpoint endpoint : endpoints) {
            boolean knownBefore = !changesOnly || encoder.knowsReplica(endpoint.replicaId());
            exclusions.endpointListed(endpoint, knownBefore);
        }
        exclusions.limitTracking();
        names.forEach(encoder::putReplicaName);
    }

    void agreedChangesReceived() {
        exclusions.agreedChangesReceived();
    }

    /** A proxy has joined on a new channel. It may still have any tables from before. */
    void proxyJoined(int proxy, ProxyChannel channel) {
        proxies.put(proxy, new JoinedProxy(channel));
    }

    void proxyLeft(int proxy) {
        proxies.remove(proxy);
    }

    /** Returns whether this is the channel on which a proxy joined last. */
    boolean isCurrent(int proxy, ProxyChannel channel) {
        JoinedProxy joined = proxies.get(proxy);
        return joined != null && joined.channel() == channel;
    }

    /** Returns a table, which is empty if no command has named it before. */
    private PublishedTable table(int number) {
        return tables.computeIfAbsent(number, absent -> new PublishedTable());
    }

    private PublishedTable tableToChange(int number) {
        PublishedTable table = table(number);
        changedThisTurn.add(table);
        return table;
    }

    @Override
    public int setTableEntry(int table, long replica, double weight) {
        boolean added = tableToChange(table).setWeight(replica, weight);
        boolean announced = false;
        for (JoinedProxy proxy : proxies.values()) {
            if (added && proxy.isBoundTo(table)) {
                announced |= announceIfMayBeExcluded(proxy, replica);
            }
        }
        return announced ? 2 : 1;
    }

    /**
     * A proxy keeps excluding replicas that any controller excluded before, which this controller
     * may not know of. The message therefore states the exclusion of each replica in the table that
     * may ever have been excluded.
     */
    @Override
    public int bindProxy(int table, int proxy, ClassSet classes) {
        JoinedProxy joined = proxies.get(proxy);
        if (joined == null) {
            return 0;
        }
        joined.bind(table, classes);
        int announced = 0;
        for (long replica : table(table).replicas()) {
            announced += announceIfMayBeExcluded(joined, replica) ? 1 : 0;
        }
        return announced;
    }

    /**
     * Announces to a proxy whether it may send to a replica, if the proxy may assume the opposite.
     */
    private boolean announceIfMayBeExcluded(JoinedProxy proxy, long replica) {
        return exclusions.mayBeExcluded(replica)
                && proxy.announceExclusion(replica, exclusions.isExcluded(replica));
    }

    @Override
    public int notifyDraining(long replica, boolean draining, int proxy) {
        exclusions.setExcluded(replica, draining);
        JoinedProxy joined = proxies.get(proxy);
        boolean mustAnnounce =
                joined != null && (draining || exclusions.wasSentExcluded(proxy, replica));
        return mustAnnounce && joined.announceExclusion(replica, draining) ? 1 : 0;
    }

    @Override
    public void setAdmissionLevel(int table, ClassSet classes, double level, int retryMode) {
        tableToChange(table).setLevel(new AdmissionLevel(classes, level, retryMode));
    }

    @Override
    public void requestAcknowledgement(int serial) {
        this.serial = serial;
    }

    @Override
    public void wakeAfter(long delayTicks) {
        waker.accept(delayTicks);
    }

    /** A proxy that still excludes the replica is told to readmit it once a table has it again. */
    @Override
    public void forgetReplica(long replica) {
        encoder.forgetReplicaName(replica);
        exclusions.forgetReplica(replica);
        proxies.values().forEach(proxy -> proxy.forgetReplica(replica));
    }

    /** Logs a line of the planner, with replica numbers replaced by names. */
    @Override
    public void log(String line) {
        LOG.info(REPLICA_NUMBER.matcher(line).replaceAll(found -> quotedName(found.group())));
    }

    private String quotedName(String number) {
        return Matcher.quoteReplacement(encoder.replicaName(Long.parseLong(number)));
    }

    /** Sends each proxy this turn's changes. */
    void flush() {
        proxies.forEach(this::send);
        changedThisTurn.forEach(PublishedTable::endTurn);
        sentWholeThisTurn.forEach(PublishedTable::endTurn);
        changedThisTurn.clear();
        sentWholeThisTurn.clear();
        serial = 0;
    }

    private void send(int number, JoinedProxy proxy) {
        if (changedThisTurn.isEmpty() && !proxy.hasProxySpecificChanges()) {
            return;
        }
        UpdateMessage message = new UpdateMessage();
        proxy.boundTables()
                .forEach((table, classes) -> parts(proxy, table, classes).forEach(message::add));
        if (message.isEmpty() && proxy.hasProxySpecificChanges()) {
            message.add(encoder.emptyPart());
        }
        if (!message.isEmpty()) {
            addExclusions(message, number, proxy);
            if (serial > 0) {
                message.requestAcknowledgement(serial);
            }
            proxy.channel().send(message.encode());
        }
        proxy.endTurn();
    }

    private void addExclusions(UpdateMessage message, int number, JoinedProxy proxy) {
        Set<Long> excluded = proxy.excludedThisTurn();
        Set<Long> readmitted = proxy.readmittedThisTurn();
        if (!excluded.isEmpty()) {
            message.exclude(encoder.replicaNames(excluded));
        }
        if (!readmitted.isEmpty()) {
            message.readmit(encoder.replicaNames(readmitted));
        }
        exclusions.recordSent(number, excluded, readmitted);
    }

    @Override
    public int messageCount(int proxy) {
        JoinedProxy joined = proxies.get(proxy);
        if (joined == null) {
            return 1;
        }
        int partCount = 0;
        for (Map.Entry<Integer, ClassSet> bound : joined.boundTables().entrySet()) {
            partCount += parts(joined, bound.getKey(), bound.getValue()).size();
        }
        return Math.max(1, UpdateMessage.messageCount(partCount));
    }

    /** Returns the parts to send to a proxy for one of its tables in this turn. */
    private List<UpdatePart> parts(JoinedProxy proxy, int number, ClassSet classes) {
        PublishedTable table = tables.get(number);
        if (proxy.wasBoundThisTurn(number)) {
            sentWholeThisTurn.add(table);
            return table.wholeParts(classes, encoder);
        }
        if (changedThisTurn.contains(table)) {
            return table.changeParts(classes, encoder);
        }
        return List.of();
    }
}
