package rockshift.testkit;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A process of this program that logs the port on which it serves; ended with whoever started it.
 */
public final class LoggedProcess implements AutoCloseable {
    private static final int START_SECONDS = 60;

    private final Process process;
    private final Pattern portLine;
    private final Consumer<String> lines;
    private final CompletableFuture<Integer> port = new CompletableFuture<>();
    private final Thread shutdownHook;

    /**
     * Starts it.
     *
     * @param portLine finds the port as its first group in a logged line
     * @param lines hears each logged line, on a thread of its own
     */
    public LoggedProcess(ProcessBuilder builder, Pattern portLine, Consumer<String> lines)
            throws IOException {
        this.portLine = portLine;
        this.lines = lines;
        process = builder.start();
        shutdownHook = new Thread(process::destroyForcibly);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        Thread reader = new Thread(this::readLog, "log of " + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    private void readLog() {
        try (BufferedReader log = process.inputReader()) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                Matcher serves = portLine.matcher(line);
                if (serves.find()) {
                    port.complete(Integer.parseInt(serves.group(1)));
                }
                lines.accept(line);
            }
        } catch (IOException killed) {
            // The process was killed.
        }
        port.completeExceptionally(new IOException("the process ended before it served"));
    }

    /** Waits until it serves, and returns the port. */
    public int awaitPort() throws IOException, InterruptedException {
        try {
            return port.get(START_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException failure) {
            throw new IOException("a process does not serve: " + failure.getMessage(), failure);
        }
    }

    /** Its process id. */
    public long pid() {
        return process.pid();
    }

    /** Whether it has not ended. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Kills it and waits until it has gone. */
    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException ending) {
            // The hook runs already.
        }
    }
}
