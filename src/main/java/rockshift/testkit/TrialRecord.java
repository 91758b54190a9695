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
 * The observations of a {@link FaultTrial} and their evaluation: the changes that each controller
 * applied, the answers that clients got, and the commands that proxies were sent. Thread-safe.
 */
final class TrialRecord {
    private static final Pattern CHANGE_APPLIED =
            Pattern.compile(
                    "change applied index=(\\d+) change=(\\{.*\\}) outcome=(\\{\"version\".*\\})$");
    private static final Pattern REASON = Pattern.compile("\"reason\":\"(op-\\d+-\\d+)\"");
    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    /** A command that sends traffic to a replica: a nonzero weight. */
    private static final Pattern WEIGHT = Pattern.compile("s-\\d+:(?!0[,\r])");

    private static final long CONNECTED = 0;

    private final long isolationNoticeMillis;

    /** When each member's isolation began, or {@link #CONNECTED}. */
    private final AtomicLongArray isolatedSinceMillis;

    /** The indexes applied by each incarnation of a member, in the order of its log lines. */
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
     * Creates an empty record.
     *
     * @param isolationNoticeMillis the time within which an isolated member must notice it
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

    /** Records the applied change if the line logs one. */
    void logged(int member, int incarnation, String line) {
        Matcher applied = CHANGE_APPLIED.matcher(line);
        if (!applied.find()) {
            return;
        }
        long index = Long.parseLong(applied.group(1));
        String content = applied.group(2) + applied.group(3);
        String known = contentByIndex.putIfAbsent(index, content);
        List<Long> indexes =
                indexesByIncarnation.computeIfAbsent(
                        member + "/" + incarnation, key -> new ArrayList<>());
        if (known != null && !known.equals(content)
                || !indexes.isEmpty() && indexes.get(indexes.size() - 1) >= index) {
            disordered.incrementAndGet();
            problem(
                    "n"
                            + member
                            + " applied entry "
                            + index
                            + " out of order or with other content: "
                            + content
                            + ", recorded before: "
                            + known);
        }
        indexes.add(index);
        Matcher reason = REASON.matcher(applied.group(2));
        if (reason.find()) {
            indexesByReason
                    .computeIfAbsent(reason.group(1), key -> ConcurrentHashMap.newKeySet())
                    .add(index);
        }
        if (known == null && mustKnowIsolation(member)) {
            minorityCommands.incrementAndGet();
            problem("n" + member + " applied entry " + index + " while isolated");
        }
    }

    /**
     * Records a command that a proxy received. An isolated controller may send only commands that
     * the rules require.
     */
    void proxyCommand(int member, String text) {
        proxyCommands.incrementAndGet();
        boolean sendsTraffic = text.contains("lines\r\n") && WEIGHT.matcher(text).find();
        if ((sendsTraffic || text.contains("back\r\n")) && mustKnowIsolation(member)) {
            minorityCommands.incrementAndGet();
            problem(
                    "n"
                            + member
                            + " sent a command while isolated: "
                            + text.replaceAll("\\s+", " "));
        }
    }

    void acknowledged(String reason) {
        acknowledgedReasons.add(reason);
    }

    void recordCommitLatency(long micros) {
        commitLatencyMicros.recordValue(micros);
    }

    void problem(String description) {
        problems.add(description);
    }

    /** Records that the members did not converge. */
    void diverged(String description) {
        problem(description);
        disordered.incrementAndGet();
    }

    int applied() {
        return contentByIndex.size();
    }

    int proxyCommands() {
        return proxyCommands.get();
    }

    /** Returns the outcome; to be called once members apply no more changes. */
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

    private boolean mustKnowIsolation(int member) {
        long sinceMillis = isolatedSinceMillis.get(member);
        return sinceMillis > CONNECTED && nowMillis() > sinceMillis + isolationNoticeMillis;
    }

    private int countLost() {
        int lost = 0;
        for (String reason : acknowledgedReasons) {
            if (!indexesByReason.containsKey(reason)) {
                lost++;
                problem(reason + " was acknowledged but not applied");
            }
        }
        return lost;
    }

    private int countDuplicated() {
        int duplicated = 0;
        for (Map.Entry<String, Set<Long>> each : indexesByReason.entrySet()) {
            if (each.getValue().size() > 1) {
                duplicated++;
                problem(each.getKey() + " was applied at indexes " + each.getValue());
            }
        }
        return duplicated;
    }

    /** Checks that the versions that members applied are consecutive. */
    private void checkVersions() {
        long version = 0;
        for (Map.Entry<Long, String> each : new TreeMap<>(contentByIndex).entrySet()) {
            Matcher number = VERSION.matcher(each.getValue());
            if (!number.find() || Long.parseLong(number.group(1)) != ++version) {
                disordered.incrementAndGet();
                problem(
                        "entry "
                                + each.getKey()
                                + " should have version "
                                + version
                                + ", got "
                                + each.getValue());
                return;
            }
        }
    }
}
