package rockshift.testkit;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * The resources that a process has used so far, from the kernel's counters. The processor time of
 * threads is keyed by thread name, which the kernel truncates to 15 characters; ended threads count
 * only in the processor time of the process. Bytes include all reads and writes of files and
 * sockets.
 */
public record ProcessUsage(
        long takenNanos,
        double processorSeconds,
        Map<String, Double> secondsByThread,
        double residentMegabytes,
        double peakMegabytes,
        long bytesRead,
        long bytesWritten) {
    /** The kernel's unit of processor time in stat files. */
    private static final double TICKS_PER_SECOND = 100;

    private static final double KIB_PER_MEGABYTE = 1024;

    /** The positions of user and system time after the name in a stat file. */
    private static final int USER_TICKS = 11;

    private static final int SYSTEM_TICKS = 12;

    /** Reads the current counters of a process. */
    public static ProcessUsage of(long pid) throws IOException {
        Path process = Path.of("/proc", Long.toString(pid));
        double resident = Double.NaN;
        double peak = Double.NaN;
        for (String line : Files.readAllLines(process.resolve("status"))) {
            if (line.startsWith("VmRSS:")) {
                resident = kibibytes(line) / KIB_PER_MEGABYTE;
            } else if (line.startsWith("VmHWM:")) {
                peak = kibibytes(line) / KIB_PER_MEGABYTE;
            }
        }
        return new ProcessUsage(
                System.nanoTime(),
                seconds(Files.readString(process.resolve("stat"))),
                threads(process.resolve("task")),
                resident,
                peak,
                bytes(process, "rchar:"),
                bytes(process, "wchar:"));
    }

    /** The average share of one core used since an earlier reading. */
    public double coreShareSince(ProcessUsage earlier) {
        return (processorSeconds - earlier.processorSeconds) / secondsSince(earlier);
    }

    /** The average share of one core that threads of a name used since an earlier reading. */
    public double coreShareSince(ProcessUsage earlier, String threadName) {
        return (secondsByThread.getOrDefault(threadName, 0.0)
                        - earlier.secondsByThread.getOrDefault(threadName, 0.0))
                / secondsSince(earlier);
    }

    private double secondsSince(ProcessUsage earlier) {
        return (takenNanos - earlier.takenNanos) / 1e9;
    }

    private static Map<String, Double> threads(Path tasks) throws IOException {
        Map<String, Double> seconds = new TreeMap<>();
        try (DirectoryStream<Path> each = Files.newDirectoryStream(tasks)) {
            for (Path task : each) {
                addThread(task, seconds);
            }
        }
        return seconds;
    }

    private static void addThread(Path task, Map<String, Double> seconds) {
        try {
            String stat = Files.readString(task.resolve("stat"));
            String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
            seconds.merge(name, seconds(stat), Double::sum);
        } catch (IOException ended) {
            // The thread ended after it was listed.
        }
    }

    private static double seconds(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]))
                / TICKS_PER_SECOND;
    }

    private static long bytes(Path process, String name) throws IOException {
        for (String line : Files.readAllLines(process.resolve("io"))) {
            if (line.startsWith(name)) {
                return Long.parseLong(line.substring(name.length()).trim());
            }
        }
        return 0;
    }

    private static double kibibytes(String line) {
        return Double.parseDouble(line.replaceAll("\\D", ""));
    }
}
