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
 * Carries out the planner's orders: keeps the state of all tables, levels, bindings and exclusions,
 * and sends each joined proxy what a turn changed for it, in one message a turn or as few as the
 * protocol allows. It adds no entry without the planner's knowledge, since the planner counts what
 * the channel carries. Used by the event loop's thread.
 */
final class PublishedTables implements ProxyCommands {
    private static final Logger LOG = LoggerFactory.getLogger(PublishedTables.class);

    /** A replica in a log line of the planner, which knows replicas by number only. */
    private static final Pattern REPLICA_NUMBER = Pattern.compile("(?<=\\breplica=)\\d+");

    private final LongConsumer waker;
    private final UpdatePartEncoder encoder;
    private final ReplicaExclusions exclusions = new ReplicaExclusions();
    private final Map<Integer, PublishedTable> tables = new HashMap<>();
    private final TreeMap<Integer, JoinedProxy> proxies = new TreeMap<>();

    private final Set<PublishedTable> changedThisTurn = new HashSet<>();
    private final Set<PublishedTable> sentWholeThisTurn = new HashSet<>();

    /** The serial number to acknowledge this turn's messages with; 0 for none. */
    private int serial;

    /**
     * @param waker takes the delay, in ticks, after which the planner asks to be woken
     */
    PublishedTables(ClassNames classNames, LongConsumer waker) {
        this.waker = waker;
        encoder = new UpdatePartEncoder(classNames);
    }

    /** Takes in the names of listed replicas, before the planner may order anything for them. */
    void endpointsListed(List<Endpoint> entries, boolean changes, Map<Long, String> names) {
        for (Endpoint entry : entries) {
            boolean knownBefore = !changes || encoder.knowsReplica(entry.replicaId());
            exclusions.endpointListed(entry, knownBefore);
        }
        exclusions.limitTracking();
        names.forEach(encoder::putReplicaName);
    }

    void agreedChangesReceived() {
        exclusions.agreedChangesReceived();
    }

    /** A proxy has joined on a new channel; it brings along whatever tables it held. */
    void proxyJoined(int proxy, ProxyChannel channel) {
        proxies.put(proxy, new JoinedProxy(channel));
    }

    void proxyLeft(int proxy) {
        proxies.remove(proxy);
    }

    /** Whether this is the channel that a proxy joined on last. */
    boolean isCurrent(int proxy, ProxyChannel channel) {
        JoinedProxy joined = proxies.get(proxy);
        return joined != null && joined.channel() == channel;
    }

    /** A table; empty where no order has named it before. */
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
                announced |= announceExclusion(proxy, replica);
            }
        }
        return announced ? 2 : 1;
    }

    /**
     * A proxy keeps off whatever any controller excluded before, and this one may not know of it:
     * the message says so for each replica in its table that may ever have been excluded.
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
            announced += announceExclusion(joined, replica) ? 1 : 0;
        }
        return announced;
    }

    /** Tells a proxy whether it may send to a replica, where it may believe the opposite. */
    private boolean announceExclusion(JoinedProxy proxy, long replica) {
        return exclusions.mayBeExcluded(replica)
                && proxy.announceExclusion(replica, exclusions.isExcluded(replica));
    }

    @Override
    public int notifyDraining(long replica, boolean out, int proxy) {
        exclusions.setExcluded(replica, out);
        JoinedProxy joined = proxies.get(proxy);
        boolean concerned = joined != null && (out || exclusions.wasSentExcluded(proxy, replica));
        return concerned && joined.announceExclusion(replica, out) ? 1 : 0;
    }

    @Override
    public void setAdmissionLevel(int table, ClassSet classes, double level, int again) {
        tableToChange(table).setLevel(new AdmissionLevel(classes, level, again));
    }

    @Override
    public void requestAcknowledgement(int serial) {
        this.serial = serial;
    }

    @Override
    public void wakeAfter(long delay) {
        waker.accept(delay);
    }

    /** A proxy that still excludes it learns otherwise as soon as a table has it again. */
    @Override
    public void forgetReplica(long replica) {
        encoder.forgetReplicaName(replica);
        exclusions.forgetReplica(replica);
        proxies.values().forEach(proxy -> proxy.forgetReplica(replica));
    }

    /** Logs a line of the planner with the replicas' names in place of their numbers. */
    @Override
    public void log(String line) {
        LOG.info(REPLICA_NUMBER.matcher(line).replaceAll(found -> quotedName(found.group())));
    }

    private String quotedName(String number) {
        return Matcher.quoteReplacement(encoder.replicaName(Long.parseLong(number)));
    }

    /** Sends each proxy what this turn ordered for it. */
    void flush() {
        proxies.forEach(this::send);
        changedThisTurn.forEach(PublishedTable::endTurn);
        sentWholeThisTurn.forEach(PublishedTable::endTurn);
        changedThisTurn.clear();
        sentWholeThisTurn.clear();
        serial = 0;
    }

    private void send(int number, JoinedProxy proxy) {
        if (changedThisTurn.isEmpty() && !proxy.hasNews()) {
            return;
        }
        UpdateMessage message = new UpdateMessage();
        proxy.boundTables()
                .forEach((table, classes) -> parts(proxy, table, classes).forEach(message::add));
        if (message.isEmpty() && proxy.hasNews()) {
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
        exclusions.sent(number, excluded, readmitted);
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

    /** The parts that tell a proxy of one of its tables in this turn. */
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
