package rockshift.testkit;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * A cluster of controller processes on loopback, with a {@link FaultyLink} between any two of them,
 * one in front of each for commands, and a {@link StaticDiscoveryServer}. It owns the processes
 * that it starts and kills them all, also when this JVM shuts down.
 */
public final class ControllerProcesses implements AutoCloseable {
    private static final int REPLICAS = 6;

    /** Receives each line that a controller logs, on the thread that reads its output. */
    public interface LogListener {
        /**
         * Handles a log line.
         *
         * @param incarnation the number of times that the member has been started
         */
        void line(int member, int incarnation, String line);
    }

    private final Path folder;
    private final int members;
    private final String election;
    private final LogListener listener;
    private final FaultyLink[][] links;
    private final FaultyLink[] clientLinks;
    private final Process[] processes;
    private final int[] incarnations;
    private final int[] clusterPorts;
    private final int[] proxyPorts;
    private final StaticDiscoveryServer discovery =
            new StaticDiscoveryServer(REPLICAS, List.of("hall-a"));
    private final Thread shutdownHook = new Thread(this::killAll);

    /**
     * Creates a cluster without starting its processes.
     *
     * @param folder the folder for the members' data and configuration
     * @param election the election timeout with its unit, as in the configuration
     */
    public ControllerProcesses(
            Path folder, int members, String election, long seed, LogListener listener)
            throws IOException {
        this.folder = folder;
        this.members = members;
        this.election = election;
        this.listener = listener;
        links = new FaultyLink[members][members];
        clientLinks = new FaultyLink[members];
        processes = new Process[members];
        incarnations = new int[members];
        clusterPorts = new int[members];
        proxyPorts = new int[members];
        for (int i = 0; i < members; i++) {
            clientLinks[i] = new FaultyLink(seed + i);
            for (int j = 0; j < members; j++) {
                links[i][j] = new FaultyLink(seed * 31 + (long) i * members + j);
            }
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** The address at which a member accepts commands, also while it is partitioned. */
    public String clientAddress(int member) {
        return clientLinks[member].address();
    }

    /** The port on which a controller accepts proxies, or 0 until it serves. */
    public int proxyPort(int member) {
        return proxyPorts[member];
    }

    /** The link from one member to another. */
    public FaultyLink link(int from, int to) {
        return links[from][to];
    }

    /** Whether the process of a member is alive, which includes paused processes. */
    public boolean isRunning(int member) {
        return processes[member] != null && processes[member].isAlive();
    }

    /** The process ID of a member. */
    public long pid(int member) {
        return processes[member].pid();
    }

    private Path writeConfiguration(int member) throws IOException {
        StringBuilder text =
                new StringBuilder(
                        "cluster {\n  name = \"n"
                                + member
                                + "\"\n  listen = \"127.0.0.1:0\"\n"
                                + "  address = \""
                                + clientAddress(member)
                                + "\"\n  folder = \""
                                + folder.resolve("d" + member)
                                + "\"\n"
                                + "  election = \""
                                + election
                                + "\"\n  snapshot_after = 200\n");
        for (int i = 0; i < members; i++) {
            text.append("  founder \"n" + i + "\" { address = \"" + clientAddress(i) + "\" }\n");
            text.append(
                    "  route \"n"
                            + i
                            + "\" { address = \""
                            + links[member][i].address()
                            + "\" }\n");
        }
        Files.writeString(
                folder.resolve("governor" + member + ".json"),
                "{\"name\":\"n"
                        + member
                        + "\",\"listen\":"
                        + "\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                        + discovery.port()
                        + "\",\"seed\":\""
                        + (member + 1)
                        + "\",\"limits\":{\"sockets\":512},\"known\":"
                        + discovery.list()
                        + ",\"settings\":{\"dcs\":[\"hall-a\"],"
                        + "\"granularity_us\":5000,\"report\":{\"names\":[\"util\"]},"
                        + "\"classes\":[{\"name\":\"subset\",\"worth\":1.0}],"
                        + "\"domain\":{\"proxy_count\":8,\"channel_rate\":5000,\"backlog\":5000.0,"
                        + "\"fixed_cost\":3.0}}}");
        return Files.writeString(folder.resolve("operator" + member + ".hcl"), text.append("}\n"));
    }

    /**
     * Starts a member's process and waits until it serves members and proxies.
     *
     * @throws IOException if the process exits during the start
     */
    public void start(int member) throws IOException, InterruptedException {
        Path operator = writeConfiguration(member);
        ProcessBuilder builder =
                ProgramCommand.serve(
                        folder.resolve("governor" + member + ".json"),
                        List.of(),
                        List.of("--operator", operator.toString()));
        int incarnation = ++incarnations[member];
        clusterPorts[member] = 0;
        proxyPorts[member] = 0;
        Process process = builder.start();
        processes[member] = process;
        Thread reader =
                new Thread(() -> readLog(process, member, incarnation), "log of n" + member);
        reader.setDaemon(true);
        reader.start();
        await(
                () -> !process.isAlive() || clusterPorts[member] > 0 && proxyPorts[member] > 0,
                30_000);
        if (!process.isAlive()) {
            throw new IOException(
                    "n" + member + " exited during start, status " + process.exitValue());
        }
        clientLinks[member].connectTo(clusterPorts[member]);
        for (int i = 0; i < members; i++) {
            links[i][member].connectTo(clusterPorts[member]);
        }
    }

    private void readLog(Process process, int member, int incarnation) {
        try (BufferedReader lines = process.inputReader()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                int port = line.indexOf(", port ");
                if (port > 0) {
                    String rest = line.substring(port + 7);
                    int number = Integer.parseInt(rest.split("\\D", 2)[0]);
                    (line.contains("member n") ? clusterPorts : proxyPorts)[member] = number;
                }
                listener.line(member, incarnation, line);
            }
        } catch (IOException ended) {
            // The process was killed.
        }
    }

    /** Kills a member's process and waits until it has ended. */
    public void kill(int member) throws InterruptedException {
        processes[member].destroyForcibly().waitFor();
    }

    /** Sends a signal to a member's process: STOP pauses it, CONT resumes it. */
    public void signal(int member, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid(member))).start().waitFor();
    }

    static void await(BooleanSupplier condition, long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(
                        "condition not met within " + timeoutMillis + " ms");
            }
            LockSupport.parkNanos(1_000_000);
        }
    }

    private void killAll() {
        for (Process process : processes) {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        killAll();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        discovery.close();
        for (int i = 0; i < members; i++) {
            clientLinks[i].close();
            for (FaultyLink link : links[i]) {
                link.close();
            }
        }
    }
}
