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
 * A child process of this program that logs the port on which it serves. It is killed when this JVM
 * shuts down.
 */
public final class LoggedProcess implements AutoCloseable {
    private static final int START_TIMEOUT_SECONDS = 60;

    private final Process process;
    private final Pattern portLine;
    private final Consumer<String> lines;
    private final CompletableFuture<Integer> port = new CompletableFuture<>();
    private final Thread shutdownHook;

    /**
     * Starts the process.
     *
     * @param portLine matches the log line with the port, which is its first group
     * @param lines receives each log line, on a separate thread
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
                Matcher portMatcher = portLine.matcher(line);
                if (portMatcher.find()) {
                    port.complete(Integer.parseInt(portMatcher.group(1)));
                }
                lines.accept(line);
            }
        } catch (IOException killed) {
            // The process was killed.
        }
        port.completeExceptionally(new IOException("process ended before it logged its port"));
    }

    /**
     * Waits until the process serves, and returns its port.
     *
     * @throws IOException if the process ends before, or does not serve within 60 s
     */
    public int awaitPort() throws IOException, InterruptedException {
        try {
            return port.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException failure) {
            throw new IOException(
                    "process did not start serving: " + failure.getMessage(), failure);
        }
    }

    /** The process ID. */
    public long pid() {
        return process.pid();
    }

    /** Whether the process is still running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process and waits until it has ended. */
    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException shutdownInProgress) {
            // The JVM is already shutting down.
        }
    }
}
