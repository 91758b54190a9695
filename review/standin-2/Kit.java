import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Stand-ins for the cases 6 to 10: governors as separate processes, discovery, messages and the record. A case is a class whose
 * main method calls {@link #main}.
 */
final class Kit {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    private static final long LONGEST_MILLIS = 110_000;

    private static final long START_NANOS = System.nanoTime();
    private static final List<Closeable> OPEN = new ArrayList<>();
    private static PrintWriter record;
    private static Path folder;

    private Kit() {}

    /** A case that cannot run for a reason that is not the program's. */
    static final class NotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        NotRun(String reason) {
            super(reason);
        }
    }

    interface Body {
        /** Returns what broke the rule, or an empty list. */
        List<String> run() throws Exception;
    }

    /** Runs a case, writes its record and exits with its status. */
    static void main(String caseFolder, Body body) {
        int status;
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")));
            folder = Files.createTempDirectory("rockshift-case");
            Runtime.getRuntime().addShutdownHook(new Thread(Kit::closeAll));
            watch();
            note("case", TROUBLE ? "with the disruption" : "without the disruption (TROUBLE=0)");
            List<String> broken = body.run();
            broken.stream().limit(30).forEach(line -> note("BROKEN", line));
            status = broken.isEmpty() ? HELD : BROKEN;
        } catch (Exception failure) {
            if (record != null) {
                note("NOT RUN", failure.toString());
            }
            failure.printStackTrace();
            status = NOT_RUN;
        }
        if (record != null) {
            note("case", status == HELD ? "rule held" : status == BROKEN ? "rule broken" : "not run");
        }
        closeAll();
        Runtime.getRuntime().halt(status);
    }

    /** Ends the case after its longest time, whatever it waits for. */
    private static void watch() {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(LONGEST_MILLIS);
                            } catch (InterruptedException never) {
                                return;
                            }
                            note("NOT RUN", "not done after " + LONGEST_MILLIS + " ms");
                            closeAll();
                            Runtime.getRuntime().halt(NOT_RUN);
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Closes without this class's lock: what is closed may be writing to the record. */
    private static void closeAll() {
        List<Closeable> open;
        synchronized (Kit.class) {
            open = new ArrayList<>(OPEN);
            OPEN.clear();
        }
        // Governors first, as they are processes.
        open.sort(Comparator.comparing(each -> each instanceof Governor ? 0 : 1));
        for (Closeable each : open) {
            try {
                each.close();
            } catch (IOException ended) {
                // It has ended already.
            }
        }
        if (folder != null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            } catch (IOException gone) {
                // Nothing is left to delete.
            }
        }
        if (record != null) {
            record.flush();
        }
    }

    static synchronized void own(Closeable each) {
        OPEN.add(each);
    }

    static Path folder() {
        return folder;
    }

    /** Milliseconds since the start of the case. */
    static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
    }

    static String seconds(long millis) {
        return String.format(Locale.ROOT, "%.2f s", millis / 1000.0);
    }

    /** Writes a line to the record. */
    static synchronized void note(String who, String what) {
        if (record == null) {
            return;
        }
        String line = String.format(Locale.ROOT, "%8.3f  %-10s %s", now() / 1000.0, who, what);
        record.println(line);
        record.flush();
        if (who.equals("case") || who.equals("BROKEN") || who.equals("NOT RUN")) {
            System.out.println(line);
        }
    }

    static void sleepUntil(long millis) throws InterruptedException {
        long wait = millis - now();
        if (wait > 0) {
            Thread.sleep(wait);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    /** The command that a field of the deploy file names. */
    static String deployCommand(String field) throws IOException {
        Matcher line =
                Pattern.compile("(?m)^" + field + "\\s*=\\s*\"(.*?)\"")
                        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!line.find()) {
            throw new NotRun("deploy/balancer.toml has no field " + field);
        }
        return line.group(1);
    }

    /** One governor, started by the command {@code run} of the deploy file. */
    static final class Governor implements Closeable {
        final String name;
        final int port;
        private final Path config;
        private final String options;
        private Process process;
        private int starts;

        Governor(String name, int port, String configJson, String options) throws IOException {
            this.name = name;
            this.port = port;
            this.options = options;
            config = folder.resolve(name + ".json");
            Files.writeString(config, configJson);
            own(this);
        }

        void start() throws IOException {
            starts++;
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", deployCommand("run") + options);
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve(name + "-" + starts + ".log").toFile());
            process = builder.start();
            note("governor", name + " started" + (options.isEmpty() ? "" : " with" + options));
        }

        /** Waits until a ping is answered. */
        void awaitReady() throws Exception {
            long until = now() + 30_000;
            while (now() < until) {
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 500);
                    socket.setSoTimeout(500);
                    socket.getOutputStream().write(encode("ping"));
                    if (readMessage(new BufferedInputStream(socket.getInputStream())).get(0).equals("pong")) {
                        note("governor", name + " answers");
                        return;
                    }
                } catch (IOException notYet) {
                    if (!process.isAlive()) {
                        throw new NotRun(name + " has ended: " + log());
                    }
                    Thread.sleep(50);
                }
            }
            throw new NotRun(name + " is not ready: " + log());
        }

        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            note("governor", name + " killed (SIGKILL)");
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        String log() throws IOException {
            return Files.readString(folder.resolve(name + "-" + starts + ".log"));
        }

        /** Copies the log's lines that contain a text to the record. */
        void noteLog(String... texts) throws IOException {
            for (int i = 1; i <= starts; i++) {
                for (String line : Files.readAllLines(folder.resolve(name + "-" + i + ".log"))) {
                    for (String text : texts) {
                        if (line.contains(text)) {
                            note(name + " log", line);
                            break;
                        }
                    }
                }
            }
        }

        @Override
        public void close() {
            if (process != null) {
                process.descendants().forEach(ProcessHandle::destroyForcibly);
                process.destroyForcibly();
            }
        }
    }

    /** A replica as discovery lists it. */
    record Listed(String id, String zone, String lifecycle, long startedAtMs) {
        String json() {
            return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"" + zone
                    + "\",\"machineType\":\"quad-full\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                    + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
        }
    }

    /** The agent of discovery on the governor's machine: whole lists and watches. */
    static final class Discovery implements Closeable {
        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final TreeMap<String, Listed> list = new TreeMap<>();
        private final TreeMap<String, Long> changedAt = new TreeMap<>();
        private final TreeMap<String, Listed> gone = new TreeMap<>();
        private long generation = 1;

        /** When an entry of this generation or a later one was first written to a governor. */
        private final TreeMap<Long, Long> toldAt = new TreeMap<>();

        Discovery(List<Listed> initial) throws IOException {
            for (Listed each : initial) {
                list.put(each.id(), each);
                changedAt.put(each.id(), generation);
            }
            Thread acceptor = new Thread(this::accept, "discovery");
            acceptor.setDaemon(true);
            acceptor.start();
            own(this);
        }

        int port() {
            return listener.getLocalPort();
        }

        /** Lists replicas as they are now; "Gone" removes one. Returns the new generation. */
        synchronized long change(Listed... changes) {
            generation++;
            for (Listed each : changes) {
                changedAt.put(each.id(), generation);
                if (each.lifecycle().equals("Gone")) {
                    list.remove(each.id());
                    gone.put(each.id(), each);
                } else {
                    gone.remove(each.id());
                    list.put(each.id(), each);
                }
                note("discovery", each.id() + " " + each.lifecycle() + " startedAtMs=" + each.startedAtMs());
            }
            notifyAll();
            return generation;
        }

        /** When a governor was first told of a generation, or -1. */
        synchronized long toldAt(long wanted) {
            Map.Entry<Long, Long> first = toldAt.ceilingEntry(wanted);
            return first == null ? -1 : first.getValue();
        }

        synchronized List<Listed> ready() {
            return list.values().stream().filter(each -> each.lifecycle().equals("Ready")).toList();
        }

        synchronized String whole() {
            return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
                    + String.join(",", list.values().stream().map(Listed::json).toList()) + "]}";
        }

        private synchronized String answer(String request) throws InterruptedException {
            Matcher watch = Pattern.compile("index=(\\d+)&wait=(\\d+)").matcher(request);
            if (!watch.find()) {
                return whole();
            }
            long held = Long.parseLong(watch.group(1));
            long until = now() + Math.min(60_000, Long.parseLong(watch.group(2)));
            while (generation <= held && now() < until) {
                wait(Math.max(1, until - now()));
            }
            List<String> changed = new ArrayList<>();
            changedAt.forEach(
                    (id, at) -> {
                        if (at > held) {
                            changed.add((list.containsKey(id) ? list.get(id) : gone.get(id)).json());
                        }
                    });
            return "{\"generation\":" + generation + ",\"reset\":false,\"instances\":["
                    + String.join(",", changed) + "]}";
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket call = listener.accept();
                    Thread handler = new Thread(() -> serve(call), "discovery-call");
                    handler.setDaemon(true);
                    handler.start();
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket call) {
            try (call) {
                call.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(call.getInputStream());
                while (true) {
                    String request = readLine(in);
                    while (!readLine(in).isEmpty()) {
                        continue;
                    }
                    String body = answer(request);
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    call.getOutputStream().write(
                            ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                    + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    call.getOutputStream().write(bytes);
                    call.getOutputStream().flush();
                    Matcher told = Pattern.compile("\"generation\":(\\d+)").matcher(body);
                    if (told.find()) {
                        synchronized (this) {
                            toldAt.putIfAbsent(Long.parseLong(told.group(1)), now());
                        }
                    }
                }
            } catch (IOException | InterruptedException ended) {
                // The governor closed the connection.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    static byte[] encode(String... words) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(("*" + words.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        for (String word : words) {
            byte[] text = word.getBytes(StandardCharsets.UTF_8);
            bytes.writeBytes(("$" + text.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
            bytes.writeBytes(text);
            bytes.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        return bytes.toByteArray();
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the other side closed the connection");
            }
            line.append((char) next);
        }
        return line.substring(0, Math.max(0, line.length() - 1));
    }

    static List<String> readMessage(InputStream in) throws IOException {
        List<String> words = new ArrayList<>();
        for (int left = Integer.parseInt(readLine(in).substring(1)); left > 0; left--) {
            words.add(new String(in.readNBytes(Integer.parseInt(readLine(in).substring(1))), StandardCharsets.UTF_8));
            in.readNBytes(2);
        }
        return words;
    }

    /** The fields of a message, after its kind. */
    static Map<String, String> fields(List<String> words) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (int i = 1; i + 1 < words.size(); i += 2) {
            fields.put(words.get(i), words.get(i + 1));
        }
        return fields;
    }

    /** What a sidecar applies to one class: the lines that it may pick, with their weights. */
    static final class Table {
        final TreeMap<String, Double> lines = new TreeMap<>();
        double level = 1;
        int retry;
    }

    static TreeSet<String> set(String joined, String separator) {
        return new TreeSet<>(List.of(joined.split(Pattern.quote(separator))));
    }
}
