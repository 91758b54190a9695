import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins for the platform around a controller, by the pages PROTOCOL and DEPLOY: discovery,
 * proxies with their clients, replicas and collectors, and the start of the project's own program.
 */
final class Stand {
    private Stand() {}

    static final long START_NANOS = System.nanoTime();

    /** Everything that the case started; none of it may outlive the case. */
    private static final List<Process> STARTED = new CopyOnWriteArrayList<>();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    /**
     * Returns the exit code of the process for the status of a case. A broken rule is 11, as a Java
     * process that fails for another reason ends with 1.
     */
    static int exitCode(int status) {
        return status == 1 ? 11 : status;
    }

    /** Milliseconds since the start of the case. */
    static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return probe.getLocalPort();
        }
    }

    /** The record of what was sent, answered and run. */
    static final class Record implements AutoCloseable {
        private final PrintWriter file;

        Record(Path path) throws IOException {
            file = new PrintWriter(Files.newBufferedWriter(path), true);
        }

        synchronized void add(String format, Object... values) {
            file.printf("%7.3f ", now() / 1000.0);
            file.println(values.length == 0 ? format : String.format(format, values));
        }

        @Override
        public synchronized void close() {
            file.close();
        }
    }

    /** A replica in discovery, and the server itself. */
    static final class Replica {
        final String name;
        final String zone;
        volatile String lifecycle = "Ready";
        volatile long startedAtMs;
        volatile boolean hangs;
        long generation = 1;

        Replica(String name, String zone) {
            this.name = name;
            this.zone = zone;
        }

        String json() {
            return "{\"instanceId\":\"" + name + "\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"" + zone
                    + "\",\"machineType\":\"one-core\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                    + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
        }
    }

    /** Discovery: the whole list, and watches that hold until something newer exists. */
    static final class Discovery implements AutoCloseable {
        final Map<String, Replica> replicas = new TreeMap<>();
        private long generation = 1;
        private final HttpServer server;
        private final Record record;

        Discovery(Record record) throws IOException {
            this.record = record;
            server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
            server.setExecutor(Executors.newCachedThreadPool(Stand::daemon));
            server.createContext("/discovery/hosts", exchange -> {
                String query = exchange.getRequestURI().getQuery();
                long index = number(query, "index", -1);
                long wait = Math.min(60_000, number(query, "wait", 0));
                byte[] body = answer(index, wait).getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(200, body.length);
                try (OutputStream out = exchange.getResponseBody()) {
                    out.write(body);
                }
            });
            server.start();
        }

        private static long number(String query, String name, long absent) {
            if (query != null) {
                for (String pair : query.split("&")) {
                    if (pair.startsWith(name + "=")) {
                        return Long.parseLong(pair.substring(name.length() + 1));
                    }
                }
            }
            return absent;
        }

        private synchronized String answer(long index, long wait) {
            long until = now() + wait;
            try {
                while (index >= generation && now() < until) {
                    wait(Math.max(1, until - now()));
                }
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
            boolean whole = index < 0;
            StringBuilder list = new StringBuilder();
            for (Replica replica : replicas.values()) {
                if (whole ? !replica.lifecycle.equals("Gone") : replica.generation > index) {
                    list.append(list.length() == 0 ? "" : ",").append(replica.json());
                }
            }
            return "{\"generation\":" + generation + ",\"reset\":" + whole + ",\"instances\":["
                    + list + "]}";
        }

        /** Adds a replica before the start. */
        synchronized void add(Replica replica) {
            replicas.put(replica.name, replica);
        }

        synchronized void change(Replica replica, String lifecycle, long startedAtMs) {
            generation++;
            replica.lifecycle = lifecycle;
            replica.startedAtMs = startedAtMs;
            replica.generation = generation;
            record.add("discovery %s %s startedAtMs=%d", replica.name, lifecycle, startedAtMs);
            notifyAll();
        }

        String address() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }

    static Thread daemon(Runnable run) {
        Thread thread = new Thread(run);
        thread.setDaemon(true);
        return thread;
    }

    /** One controller, started by the command of the deploy file. */
    static final class Governor {
        final String name;
        final int port;
        final Path folder;
        private final Path config;
        private final String arguments;
        private final Record record;
        private final String limit;
        private Process process;

        /**
         * @param arguments added to the command of the deploy file
         * @param limit a shell command that sets the process's own limits, or empty
         */
        Governor(String name, int port, Path folder, Path config, String arguments, String limit,
                Record record) {
            this.name = name;
            this.port = port;
            this.folder = folder;
            this.config = config;
            this.arguments = arguments;
            this.limit = limit;
            this.record = record;
        }

        void start() throws IOException {
            String run = runCommand() + (arguments.isEmpty() ? "" : " " + arguments);
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", limit.isEmpty() ? run : limit + "; " + run);
            builder.environment().put("RELAY_NAME", name);
            builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            STARTED.add(process);
            record.add("start %s pid=%d", name, process.pid());
        }

        /** Waits until the controller answers a ping; returns whether it did. */
        boolean awaitReady(long millis) throws InterruptedException {
            long until = now() + millis;
            while (now() < until) {
                if (process.isAlive() && ping(port)) {
                    record.add("ready %s", name);
                    return true;
                }
                Thread.sleep(50);
            }
            return false;
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        int exitValue() {
            return process.exitValue();
        }

        /** SIGKILL. */
        void kill() throws InterruptedException {
            if (process != null) {
                boolean alive = process.isAlive();
                process.destroyForcibly();
                process.waitFor(5, TimeUnit.SECONDS);
                if (alive) {
                    record.add("SIGKILL %s", name);
                }
            }
        }
    }

    /** The run command of the deploy file. */
    static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run command in deploy/balancer.toml");
    }

    static boolean ping(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(message("ping"));
            return readMessage(new BufferedInputStream(socket.getInputStream())).equals(List.of("pong"));
        } catch (IOException unavailable) {
            return false;
        }
    }

    /** Runs a command of the program, and returns its output and status. */
    static String command(Record record, String arguments) throws IOException, InterruptedException {
        Process process =
                new ProcessBuilder("/bin/sh", "-c", "exec java -jar target/rockshift.jar " + arguments)
                        .redirectErrorStream(true)
                        .start();
        STARTED.add(process);
        String output =
                new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        int status = process.waitFor();
        record.add("command %s: status %d, %s", arguments.split(" --")[0], status,
                output.replace('\n', '|'));
        return status + " " + output;
    }

    static byte[] message(String words) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String[] parts = words.split(" ");
        bytes.writeBytes(("*" + parts.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        for (String part : parts) {
            byte[] text = part.getBytes(StandardCharsets.UTF_8);
            bytes.writeBytes(("$" + text.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
            bytes.writeBytes(text);
            bytes.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        return bytes.toByteArray();
    }

    static List<String> readMessage(InputStream in) throws IOException {
        List<String> words = new ArrayList<>();
        for (int remaining = count(in); remaining > 0; remaining--) {
            words.add(new String(in.readNBytes(count(in)), StandardCharsets.UTF_8));
            in.readNBytes(2);
        }
        return words;
    }

    private static int count(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("closed");
            }
            line.append((char) next);
        }
        return Integer.parseInt(line.substring(1).trim());
    }

    /** Attempts that proxies of a zone made at a replica, until the collector reports them. */
    static final class Tally {
        int attempts;
        int failed;
    }

    /** One proxy and its clients' transactions; it obeys its tables as the protocol page says. */
    static final class Proxy implements AutoCloseable {
        final int number;
        final String zone;
        final List<String> classes;
        final Fleet fleet;
        private final Random random;
        private volatile int governorPort;
        private volatile Socket socket;
        private volatile boolean closed;
        private volatile boolean paused;
        private boolean ordered;

        /** Tables by class, guarded by this object. */
        private final Map<String, LinkedHashMap<String, Double>> tables = new HashMap<>();

        private final Map<String, Double> levels = new HashMap<>();
        private final Map<String, Map<String, Double>> credit = new HashMap<>();
        private final TreeSet<String> out = new TreeSet<>();
        private final Map<String, Integer> arrivals = new HashMap<>();
        volatile long joinedAt = -1;
        volatile long lastMessageAt = -1;

        Proxy(int number, String zone, List<String> classes, Fleet fleet, int governorPort,
                List<String> standing) {
            this.number = number;
            this.zone = zone;
            this.classes = classes;
            this.fleet = fleet;
            this.governorPort = governorPort;
            random = new Random(77 + number);
            for (String name : classes) {
                LinkedHashMap<String, Double> table = new LinkedHashMap<>();
                standing.forEach(replica -> table.put(replica, 1.0));
                tables.put(name, table);
                levels.put(name, 1.0);
                credit.put(name, new HashMap<>());
                arrivals.put(name, 0);
            }
            daemon(this::run).start();
            daemon(this::sendUsage).start();
        }

        /** Breaks the stream; the proxy dials again as after any break. */
        void breakStream() throws IOException {
            Socket open = socket;
            if (open != null) {
                open.close();
            }
        }

        void setPaused(boolean value) throws IOException {
            paused = value;
            if (value) {
                breakStream();
            }
        }

        private void run() {
            while (!closed) {
                try {
                    if (!paused) {
                        session();
                    }
                } catch (IOException | RuntimeException broken) {
                    if (joinedAt >= 0) {
                        fleet.record.add("proxy %d stream ended: %s", number, broken.getMessage());
                    }
                }
                joinedAt = -1;
                pause(700 + random.nextInt(1_400));
            }
        }

        private void session() throws IOException {
            try (Socket dialled = new Socket()) {
                dialled.connect(new InetSocketAddress("127.0.0.1", governorPort), 500);
                dialled.setTcpNoDelay(true);
                socket = dialled;
                write("joined sidecar " + number + " az " + zone + " share " + fleet.ratePerProxy
                        + " standing " + (ordered ? 0 : 1));
                joinedAt = now();
                fleet.record.add("proxy %d joins", number);
                InputStream in = new BufferedInputStream(dialled.getInputStream());
                List<List<String>> parts = new ArrayList<>();
                while (true) {
                    List<String> words = readMessage(in);
                    parts.add(words);
                    if (!"1".equals(field(words, "more"))) {
                        apply(parts);
                        parts = new ArrayList<>();
                    }
                }
            } finally {
                socket = null;
            }
        }

        private void write(String words) throws IOException {
            Socket open = socket;
            if (open != null) {
                synchronized (open) {
                    open.getOutputStream().write(message(words));
                }
            }
        }

        private static String field(List<String> words, String name) {
            for (int i = 1; i + 1 < words.size(); i += 2) {
                if (words.get(i).equals(name)) {
                    return words.get(i + 1);
                }
            }
            return null;
        }

        private void apply(List<List<String>> parts) throws IOException {
            String ticket = null;
            synchronized (this) {
                for (List<String> words : parts) {
                    fleet.record.add("to proxy %d: %s", number, String.join(" ", words));
                    applyPart(words);
                    ticket = field(words, "ticket") == null ? ticket : field(words, "ticket");
                }
                ordered = true;
                lastMessageAt = now();
            }
            if (ticket != null) {
                write("applied sidecar " + number + " version " + ticket + " lag_ms 20.0");
            }
        }

        private void applyPart(List<String> words) throws IOException {
            if (!words.get(0).equals("update")) {
                throw new IOException("unusable kind " + words.get(0));
            }
            String concerned = field(words, "classes");
            List<String> names =
                    concerned == null || concerned.isEmpty() ? classes : List.of(concerned.split("\\+"));
            boolean whole = "1".equals(field(words, "whole"));
            for (String name : names) {
                if (!classes.contains(name)) {
                    throw new IOException("unknown class " + name);
                }
                if (whole) {
                    tables.get(name).clear();
                    levels.put(name, 1.0);
                    credit.get(name).clear();
                }
                String lines = field(words, "lines");
                if (lines != null && !lines.isEmpty()) {
                    for (String line : lines.split(",")) {
                        int colon = line.lastIndexOf(':');
                        String replica = line.substring(0, colon);
                        double weight = Double.parseDouble(line.substring(colon + 1));
                        if (fleet.discovery.replicas.get(replica) == null) {
                            throw new IOException("never listed: " + replica);
                        }
                        if (weight > 0) {
                            tables.get(name).put(replica, weight);
                        } else {
                            tables.get(name).remove(replica);
                        }
                    }
                }
                String level = field(words, "level");
                if (level != null) {
                    levels.put(name, Double.parseDouble(level));
                }
            }
            String shut = field(words, "out");
            if (shut != null) {
                out.addAll(List.of(shut.split(",")));
            }
            String back = field(words, "back");
            if (back != null) {
                out.removeAll(List.of(back.split(",")));
            }
        }

        /** Returns the replica for the next transaction of a class, evenly by weight, or null. */
        synchronized String pick(String name) {
            arrivals.merge(name, 1, Integer::sum);
            double total = 0;
            String best = null;
            Map<String, Double> credits = credit.get(name);
            for (Map.Entry<String, Double> line : tables.get(name).entrySet()) {
                if (!out.contains(line.getKey())) {
                    total += line.getValue();
                    double credited = credits.merge(line.getKey(), line.getValue(), Double::sum);
                    if (best == null || credited > credits.get(best)) {
                        best = line.getKey();
                    }
                }
            }
            if (best != null) {
                credits.merge(best, -total, Double::sum);
            }
            return best;
        }

        synchronized boolean hasLine(String name) {
            return tables.get(name).keySet().stream().anyMatch(replica -> !out.contains(replica));
        }

        synchronized String describe() {
            return "tables " + tables + " out " + out;
        }

        private void sendUsage() {
            while (!closed) {
                pause(fleet.periodMs);
                for (String name : classes) {
                    int count;
                    synchronized (this) {
                        count = arrivals.put(name, 0);
                    }
                    if (joinedAt >= 0) {
                        try {
                            write("usage sidecar " + number + " kind " + name + " n " + count
                                    + " bad 0 window " + fleet.periodMs + ".0");
                        } catch (IOException broken) {
                            // The reading thread sees the end of the stream.
                        }
                    }
                }
            }
        }

        @Override
        public void close() throws IOException {
            closed = true;
            breakStream();
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** All stand-ins of one controller. */
    static final class Fleet implements AutoCloseable {
        final Record record;
        final Discovery discovery;
        final List<Proxy> proxies = new CopyOnWriteArrayList<>();
        final int periodMs;
        final double ratePerProxy;
        private final Map<String, Map<String, Tally>> tallies = new TreeMap<>();
        private volatile boolean closed;

        Fleet(Record record, Discovery discovery, int periodMs, double ratePerProxy) {
            this.record = record;
            this.discovery = discovery;
            this.periodMs = periodMs;
            this.ratePerProxy = ratePerProxy;
        }

        /** Counts one attempt, which the zone's collector reports. */
        void attempted(Proxy proxy, String replica, boolean failed) {
            synchronized (tallies) {
                Tally tally = tallies.computeIfAbsent(proxy.zone, zone -> new TreeMap<>())
                        .computeIfAbsent(replica, name -> new Tally());
                tally.attempts++;
                tally.failed += failed ? 1 : 0;
            }
        }

        /** Starts the collector of a zone. */
        void collect(String zone, int governorPort) {
            daemon(() -> {
                while (!closed) {
                    try (Socket socket = new Socket()) {
                        socket.connect(new InetSocketAddress("127.0.0.1", governorPort), 500);
                        OutputStream out = socket.getOutputStream();
                        out.write(message("collector az " + zone));
                        while (!closed) {
                            pause(periodMs);
                            Map<String, Tally> reported;
                            synchronized (tallies) {
                                reported = tallies.remove(zone);
                            }
                            for (Map.Entry<String, Tally> each :
                                    (reported == null ? new TreeMap<String, Tally>() : reported)
                                            .entrySet()) {
                                out.write(message("heard az " + zone + " host " + each.getKey()
                                        + " n " + each.getValue().attempts + " bad "
                                        + each.getValue().failed + " avg 150.0 window " + periodMs
                                        + ".0" + (each.getValue().failed < each.getValue().attempts
                                                ? " report util:0.50" : "")));
                            }
                        }
                    } catch (IOException broken) {
                        pause(1_000);
                    }
                }
            }).start();
        }

        @Override
        public void close() throws IOException {
            closed = true;
            for (Proxy proxy : proxies) {
                proxy.close();
            }
        }
    }

    /** The configuration file of a controller, in the form of the page DEPLOY. */
    static String config(String name, int port, String discovery, Discovery list, String settings,
            int sockets) {
        StringBuilder known = new StringBuilder();
        for (Replica replica : list.replicas.values()) {
            known.append(known.length() == 0 ? "" : ",").append(replica.json());
        }
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":" + sockets + "},\"known\":{\"generation\":1,"
                + "\"reset\":true,\"instances\":[" + known + "]},\"settings\":" + settings + "}";
    }

    /** The operator's file of a member, as in deploy/operator.hcl. */
    static String operatorFile(String name, Path folder, Map<String, Integer> members) {
        StringBuilder text = new StringBuilder("cluster {\n  name = \"" + name + "\"\n  listen = \"127.0.0.1:"
                + members.get(name) + "\"\n  folder = \"" + folder + "\"\n");
        members.forEach((member, port) -> text.append("  founder \"" + member + "\" { address = \"127.0.0.1:"
                + port + "\" }\n"));
        return text.append("  election = \"1s\"\n  heartbeat = \"200ms\"\n  drift = 0.05\n"
                + "  leases = true\n  minority = \"withdraw\"\n  batch = 512\n"
                + "  snapshot_after = 10000\n  snapshot_bytes = \"4MB\"\n  subscribers = 1024\n}\n").toString();
    }

    /** The settings of example/governor.json, as text. */
    static String exampleSettings() throws IOException {
        String text = Files.readString(Path.of("example/governor.json"));
        return text.substring(text.indexOf("\"settings\":") + 11, text.lastIndexOf('}'));
    }

    /** Deletes a folder that the case created. */
    static void delete(Path folder) throws IOException {
        try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** Three controllers that agree, with one discovery, in a temporary folder. */
    static final class Cluster implements AutoCloseable {
        final Discovery discovery;
        final List<Governor> governors = new ArrayList<>();
        final Path folder;
        private final Record record;

        /**
         * @param replicas their number; they alternate between two zones
         * @param adapt changes the settings of the example
         */
        Cluster(Record record, int replicas, java.util.function.UnaryOperator<String> adapt)
                throws IOException {
            this.record = record;
            folder = Files.createTempDirectory("review");
            discovery = new Discovery(record);
            for (int i = 0; i < replicas; i++) {
                discovery.add(new Replica("s-" + i, i % 2 == 0 ? "hall-a" : "hall-b"));
            }
            Map<String, Integer> members = new TreeMap<>();
            for (int i = 1; i <= 3; i++) {
                members.put("n" + i, freePort());
            }
            String settings = adapt.apply(exampleSettings());
            for (String member : members.keySet()) {
                Path operator = folder.resolve(member + ".hcl");
                Files.writeString(operator, operatorFile(member, folder.resolve(member), members));
                int port = freePort();
                Path config = folder.resolve(member + ".json");
                Files.writeString(config,
                        config(member, port, discovery.address(), discovery, settings, 1024));
                governors.add(new Governor(
                        member, port, folder, config, "--operator " + operator, "", record));
            }
        }

        /** Starts all members; returns whether all became ready. */
        boolean start() throws IOException, InterruptedException {
            for (Governor governor : governors) {
                governor.start();
            }
            for (Governor governor : governors) {
                if (!governor.awaitReady(30_000)) {
                    record.add("%s is not ready", governor.name);
                    return false;
                }
            }
            return true;
        }

        /** The file that names the members to commands. */
        Path membersFile() {
            return folder.resolve("n1.hcl");
        }

        /** Records the lines of a member's log that contain a word. */
        void recordLog(String member, String word) throws IOException {
            for (String line : Files.readAllLines(folder.resolve(member + ".log"))) {
                if (line.contains(word)) {
                    record.add("log of %s: %s", member, line);
                }
            }
        }

        @Override
        public void close() throws IOException {
            try {
                for (Governor governor : governors) {
                    governor.kill();
                }
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
            discovery.close();
            delete(folder);
        }
    }
}
