package rockshift.testkit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * What was seen in a {@link FaultTrial}: what each controller applied, what clients were told, and
 * what proxies were sent; and the verdict over it. Thread-safe.
 */
final class TrialRecord {
    private static final Pattern CHANGE_APPLIED =
            Pattern.compile(
                    "change applied index=(\\d+) change=(\\{.*\\}) outcome=(\\{\"version\".*\\})$");
    private static final Pattern REASON = Pattern.compile("\"reason\":\"(op-\\d+-\\d+)\"");
    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    /** An order that sends traffic to a replica: a weight that is not zero. */
    private static final Pattern WEIGHT = Pattern.compile("s-\\d+:(?!0[,\r])");

    private static final long CONNECTED = 0;

    private final long isolationNoticeMillis;

    /** When each member was cut off from all others. */
    private final AtomicLongArray isolatedSinceMillis;

    /** The indexes that each incarnation of a member applied, in the order of its log lines. */
    private final Map<String, List<Long>> indexesByIncarnation = new ConcurrentHashMap<>();

    private final Map<Long, String> contentByIndex = new ConcurrentHashMap<>();
    private final Map<String, Set<Long>> indexesByReason = new ConcurrentHashMap<>();
    private final Set<String> acknowledgedReasons = ConcurrentHashMap.newKeySet();
    private final List<String> problems = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger disordered = new AtomicInteger();
    private final AtomicInteger minorityCommands = new AtomicInteger();
    private final AtomicInteger proxyCommands = new AtomicInteger();
    private final ConcurrentHistogram commitLatencyMicros = new ConcurrentHistogram(3);

    /**
     * A record of nothing.
     *
     * @param isolationNoticeMillis after which a member that is cut off must know it
     */
    TrialRecord(int members, long isolationNoticeMillis) {
        this.isolationNoticeMillis = isolationNoticeMillis;
        this.isolatedSinceMillis = new AtomicLongArray(members);
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    void isolated(int member) {
        isolatedSinceMillis.set(member, nowMillis());
    }

    void reconnected(int member) {
        isolatedSinceMillis.set(member, CONNECTED);
    }

    /** A controller logged a line, which perhaps says what it applied. */
    void logged(int member, int incarnation, String line) {
        Matcher applied = CHANGE_APPLIED.matcher(line);
        if (!applied.find()) {
            return;
        }
        long index = Long.parseLong(applied.group(1));
        String content = applied.group(2) + applied.group(3);
        String before = contentByIndex.putIfAbsent(index, content);
        List<Long> indexes =
                indexesByIncarnation.computeIfAbsent(
                        member + "/" + incarnation, key -> new ArrayList<>());
        if (before != null && !before.equals(content)
                || !indexes.isEmpty() && indexes.get(indexes.size() - 1) >= index) {
            disordered.incrementAndGet();
            problem("n" + member + " applied at " + index + " " + content + ", known " + before);
        }
        indexes.add(index);
        Matcher reason = REASON.matcher(applied.group(2));
        if (reason.find()) {
            indexesByReason
                    .computeIfAbsent(reason.group(1), key -> ConcurrentHashMap.newKeySet())
                    .add(index);
        }
        if (before == null && knowsIsolation(member)) {
            minorityCommands.incrementAndGet();
            problem("n" + member + " applied " + index + " though it was cut off");
        }
    }

    /** A proxy was sent a command: an isolated controller may only send what rules demand. */
    void proxyCommand(int member, String text) {
        proxyCommands.incrementAndGet();
        boolean sendsTraffic = text.contains("lines\r\n") && WEIGHT.matcher(text).find();
        if ((sendsTraffic || text.contains("back\r\n")) && knowsIsolation(member)) {
            minorityCommands.incrementAndGet();
            problem(
                    "n"
                            + member
                            + " ordered though it was cut off: "
                            + text.replaceAll("\\s+", " "));
        }
    }

    void acknowledged(String reason) {
        acknowledgedReasons.add(reason);
    }

    void answeredAfter(long micros) {
        commitLatencyMicros.recordValue(micros);
    }

    void problem(String what) {
        problems.add(what);
    }

    /** The members did not come to the same state. */
    void diverged(String what) {
        problem(what);
        disordered.incrementAndGet();
    }

    int applied() {
        return contentByIndex.size();
    }

    int proxyCommands() {
        return proxyCommands.get();
    }

    /** The verdict; to be asked for once all has come to rest. */
    FaultTrial.Outcome outcome(int faults) {
        int lost = countLost();
        int duplicated = countDuplicated();
        checkVersions();
        return new FaultTrial.Outcome(
                applied(),
                lost,
                duplicated,
                disordered.get(),
                minorityCommands.get(),
                faults,
                commitLatencyMicros.copy(),
                List.copyOf(problems));
    }

    private boolean knowsIsolation(int member) {
        long sinceMillis = isolatedSinceMillis.get(member);
        return sinceMillis > CONNECTED && nowMillis() > sinceMillis + isolationNoticeMillis;
    }

    private int countLost() {
        int lost = 0;
        for (String reason : acknowledgedReasons) {
            if (!indexesByReason.containsKey(reason)) {
                lost++;
                problem(reason + " was acknowledged and is nowhere");
            }
        }
        return lost;
    }

    private int countDuplicated() {
        int duplicated = 0;
        for (Map.Entry<String, Set<Long>> each : indexesByReason.entrySet()) {
            if (each.getValue().size() > 1) {
                duplicated++;
                problem(each.getKey() + " took effect at " + each.getValue());
            }
        }
        return duplicated;
    }

    /** Versions must follow each other without a gap, over what all members applied together. */
    private void checkVersions() {
        long version = 0;
        for (Map.Entry<Long, String> each : new TreeMap<>(contentByIndex).entrySet()) {
            Matcher number = VERSION.matcher(each.getValue());
            if (!number.find() || Long.parseLong(number.group(1)) != ++version) {
                disordered.incrementAndGet();
                problem(
                        "entry "
                                + each.getKey()
                                + " is not version "
                                + version
                                + ": "
                                + each.getValue());
                return;
            }
        }
    }
}
