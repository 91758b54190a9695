package rockshift.net;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/**
 * The file descriptors that this process may still open. Where the system has no {@code /proc}, the
 * number is unknown. Thread-safe.
 */
public final class OpenDescriptors {
    /** Returned if the number of descriptors cannot be determined. */
    public static final int UNKNOWN = Integer.MAX_VALUE;

    private static final String LIMIT_LINE = "Max open files";
    private static final String UNLIMITED = "unlimited";
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final File OPEN = new File("/proc/self/fd");

    private final int configuredLimit;

    /** Applies the limit of the process only. */
    public OpenDescriptors() {
        this(UNKNOWN);
    }

    /** Applies a configured limit, or the one of the process while that is lower. */
    public OpenDescriptors(int configuredLimit) {
        this.configuredLimit = configuredLimit;
    }

    /** Returns how many descriptors are free: at least 0, or {@link #UNKNOWN}. */
    public int free() {
        int limit;
        try {
            limit = Math.min(configuredLimit, processLimit());
        } catch (NoSuchFileException noProc) {
            return UNKNOWN;
        } catch (IOException noDescriptor) {
            return 0;
        }
        if (limit == UNKNOWN) {
            return UNKNOWN;
        }
        // Reading the folder takes a descriptor itself, too.
        String[] open = OPEN.list();
        return open == null ? 0 : Math.max(0, limit - open.length);
    }

    /** Reads the limit of the process, which an administrator may change while it runs. */
    private static int processLimit() throws IOException {
        for (String line : Files.readAllLines(LIMITS, StandardCharsets.US_ASCII)) {
            if (line.startsWith(LIMIT_LINE)) {
                String soft = line.substring(LIMIT_LINE.length()).strip().split(" ", 2)[0];
                return soft.equals(UNLIMITED)
                        ? UNKNOWN
                        : (int) Math.min(UNKNOWN, Long.parseLong(soft));
            }
        }
        return UNKNOWN;
    }
}
