package rockshift.simulation;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rockshift.model.ClassSet;
import rockshift.model.Endpoint;
import rockshift.planner.Planner;
import rockshift.planner.ProxyCommands;
import rockshift.settings.PlannerSettings;

/** Hosts instances of the module on the simulator's wire: one reply for each batch of events. */
public final class SimulatorAdapter {
    private final Map<Integer, Planner> instances = new LinkedHashMap<>();

    /** By governor and replica, the proxies that were told to keep off it. */
    private final Map<Integer, Map<Long, Set<Integer>>> masked = new LinkedHashMap<>();

    private final Map<Integer, List<Endpoint>> sheets = new LinkedHashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private final BufferedReader input;

    private SimulatorAdapter(BufferedReader input) {
        this.input = input;
    }

    /** Plays until the input ends; answers the exit status. */
    public static int run(InputStream in, OutputStream out) throws IOException {
        SimulatorAdapter drill =
                new SimulatorAdapter(
                        new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)));
        try {
            for (String line = drill.input.readLine();
                    line != null;
                    line = drill.input.readLine()) {
                drill.batch(line);
                out.write(drill.reply.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
                drill.reply.setLength(0);
            }
            return 0;
        } catch (SimulatorCodec.Malformed wrong) {
            System.err.println(wrong.getMessage());
            return 1;
        }
    }

    private String next(String expected) throws IOException {
        String line = input.readLine();
        if (line == null) {
            throw new SimulatorCodec.Malformed("end of input", expected);
        }
        return line;
    }

    private void batch(String first) throws IOException {
        SimulatorCodec clock = new SimulatorCodec(first);
        if (!clock.name().equals("CLOCK")) {
            throw new SimulatorCodec.Malformed(first, "CLOCK");
        }
        long now = clock.tenths("the clock");
        long number = clock.whole("a batch number");
        Set<Integer> touched = new LinkedHashSet<>();
        for (String line = next("an event");
                !line.equals("OVER_TO_YOU");
                line = next("OVER_TO_YOU")) {
            SimulatorCodec event = new SimulatorCodec(line);
            if (event.name().equals("SHEET")) {
                int page = event.small("a page");
                sheets.put(
                        page,
                        SimulatorCodec.rows(event.small("the number of records"), this::next));
                continue;
            }
            int governor = event.small("a governor");
            touched.add(governor);
            guarded(governor, () -> read(event, governor, now));
        }
        for (int governor : touched) {
            Planner logic = instances.get(governor);
            if (logic != null) {
                ProxyCommands orders = new Writer(governor);
                guarded(
                        governor,
                        () -> {
                            while (logic.decideNext(orders)) {
                                continue;
                            }
                        });
            }
        }
        reply.append("ACK ").append(number).append('\n');
    }

    /** An exception in the module ends the day in its own words; one in a line ends the run. */
    private void guarded(int governor, Runnable work) {
        try {
            work.run();
        } catch (SimulatorCodec.Malformed wrong) {
            throw wrong;
        } catch (RuntimeException failure) {
            failure.printStackTrace();
            reply.append("INTERNAL_ERROR ")
                    .append(governor)
                    .append(' ')
                    .append(String.valueOf(failure).replace('\n', ' '))
                    .append('\n');
        }
    }

    /** Where the list must be asked for, the module is to find it coming all the same. */
    private void subscribe(int governor) {
        reply.append("TRACK ").append(governor).append(" 1\n");
    }

    private void read(SimulatorCodec event, int governor, long now) {
        if (event.name().equals("HELLO")) {
            long seed = event.whole("a seed");
            PlannerSettings settings = event.settings();
            instances.put(governor, new Planner(now, seed, settings));
            masked.put(governor, new HashMap<>());
            if (settings.subscribesToDiscovery()) {
                subscribe(governor);
            }
            return;
        }
        if (event.name().equals("EXIT")) {
            instances.remove(governor);
            return;
        }
        Planner logic = instances.get(governor);
        if (logic == null) {
            return;
        }
        switch (event.name()) {
            case "TARGETS" -> {
                String kind = event.text("a list kind");
                event.whole("a serial");
                if (kind.equals("FAILED")) {
                    subscribe(governor);
                } else {
                    List<Endpoint> rows = sheets.get(event.small("a page"));
                    if (rows == null) {
                        throw new SimulatorCodec.Malformed(
                                event.name(), "a SHEET of that page before it");
                    }
                    logic.updateEndpoints(now, rows, kind.equals("INCREMENTAL"));
                }
            }
            case "JOINED" -> {
                event.flag("whether it holds standing tables only");
                String zone = event.text("a zone");
                logic.proxyJoined(now, event.small("a proxy"), zone, event.number("its size"));
            }
            case "LEFT" -> {
                int proxy = event.small("a proxy");
                logic.proxyLeft(now, proxy);
                masked.get(governor).values().forEach(told -> told.remove(proxy));
            }
            case "HEARD" -> {
                long took = event.tenths("a mean time");
                String zone = event.text("a zone");
                long replica = event.whole("a replica");
                int lost = event.small("lost tries");
                int tries = event.small("tries");
                long span = event.tenths("a span");
                Double busy = event.load("a load report").get("util");
                logic.recordLoadReport(now, zone, replica, tries, lost, took, span, busy);
            }
            case "PROXY_STATS" -> {
                event.whole("lost transactions");
                int proxy = event.small("a proxy");
                String type = event.text("a class");
                long span = event.tenths("a span");
                logic.recordUsage(now, proxy, type, event.small("transactions"), span);
            }
            case "CAUGHT_UP" -> {
                int serial = event.small("a serial");
                logic.proxyAcknowledged(now, event.small("a proxy"), serial);
            }
            case "TIMER" -> logic.timerFired(now);
            case "PING_RESULT", "INBOX" -> {
                // The module asks no replica and tells its fellows nothing, so nothing comes back.
            }
            case "SLICE_LOAD", "GIVEN", "STANDING_LINE" -> {
                // Sites with slices hand out tables of their own; the module lays none there.
            }
            default -> throw new SimulatorCodec.Malformed(event.name(), "an event of the wire");
        }
    }

    /** Writes the module's orders as lines of the reply. */
    private final class Writer implements ProxyCommands {
        private final int governor;
        private final Set<Long> written = new HashSet<>();

        Writer(int governor) {
            this.governor = governor;
        }

        private StringBuilder start(String action) {
            return reply.append(action).append(' ').append(governor).append(' ');
        }

        @Override
        public int setTableEntry(int table, long replica, double weight) {
            start("WEIGH")
                    .append(SimulatorCodec.table(table))
                    .append(' ')
                    .append(replica)
                    .append(' ')
                    .append(weight)
                    .append('\n');
            return 1;
        }

        @Override
        public int notifyDraining(long replica, boolean out, int proxy) {
            Set<Integer> told =
                    masked.get(governor).computeIfAbsent(replica, absent -> new HashSet<>());
            boolean changes = out ? told.add(proxy) : told.remove(proxy);
            // One line of the wire reaches all who are joined.
            if (changes && written.add(replica)) {
                start("MASK").append(replica).append(out ? " 1\n" : " 0\n");
            }
            return changes ? 1 : 0;
        }

        @Override
        public int bindProxy(int table, int proxy, ClassSet classes) {
            start("ATTACH_TABLE")
                    .append(SimulatorCodec.mask(classes))
                    .append(' ')
                    .append(SimulatorCodec.table(table))
                    .append(' ')
                    .append(proxy)
                    .append('\n');
            return 0;
        }

        @Override
        public void setAdmissionLevel(int table, ClassSet classes, double level, int again) {
            start("ALLOW")
                    .append(SimulatorCodec.table(table))
                    .append(' ')
                    .append(SimulatorCodec.mask(classes))
                    .append(' ')
                    .append(level)
                    .append(' ')
                    .append(again)
                    .append('\n');
        }

        @Override
        public void requestAcknowledgement(int serial) {
            start("STAMP").append("0 ").append(serial).append('\n');
        }

        @Override
        public void wakeAfter(long delay) {
            start("NOTIFY_ME").append(SimulatorCodec.micros(delay)).append(" round\n");
        }

        @Override
        public void forgetReplica(long replica) {
            // The simulator keeps replicas by the numbers that it gave them.
        }

        @Override
        public void log(String line) {
            start("RECORD").append(line).append('\n');
        }
    }
}
