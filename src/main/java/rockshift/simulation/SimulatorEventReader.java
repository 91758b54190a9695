package rockshift.simulation;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import rockshift.model.Endpoint;
import rockshift.simulation.SimulatorEvent.ControllerStarted;
import rockshift.simulation.SimulatorEvent.ControllerStopped;
import rockshift.simulation.SimulatorEvent.DiscoveryFailed;
import rockshift.simulation.SimulatorEvent.EndpointsListed;
import rockshift.simulation.SimulatorEvent.Ignored;
import rockshift.simulation.SimulatorEvent.MessagesAcknowledged;
import rockshift.simulation.SimulatorEvent.ProxyJoined;
import rockshift.simulation.SimulatorEvent.ProxyLeft;
import rockshift.simulation.SimulatorEvent.ReplicaReported;
import rockshift.simulation.SimulatorEvent.TimerFired;
import rockshift.simulation.SimulatorEvent.UsageReported;

/**
 * Reads batches of events from the simulator. Only this class knows the protocol's names of events.
 * Used only by the adapter's thread.
 */
final class SimulatorEventReader {
    /** The header of a batch: the simulated time of its events, and its number. */
    record BatchHeader(long nowTicks, long number) {}

    /** An event of one controller whose fields have not been parsed yet. */
    record Envelope(int controllerId, SimulatorLine line) {}

    private static final String BATCH_START = "CLOCK";
    private static final String BATCH_END = "OVER_TO_YOU";
    private static final String ENDPOINT_LIST = "SHEET";
    private static final String ENDPOINT = "ROW";
    private static final String CONTROLLER_STARTED = "HELLO";

    /** The metric of a load report that holds a replica's utilization. */
    private static final String UTILIZATION = "util";

    private final BufferedReader input;

    /** The latest endpoint list by its number. Numbers are reused, even within one batch. */
    private final Map<Integer, List<Endpoint>> endpointLists = new HashMap<>();

    SimulatorEventReader(BufferedReader input) {
        this.input = input;
    }

    /** Returns the header of the next batch, or empty at the end of the input. */
    Optional<BatchHeader> nextBatch() throws IOException {
        String text = input.readLine();
        if (text == null) {
            return Optional.empty();
        }
        SimulatorLine line = new SimulatorLine(text);
        if (!line.name().equals(BATCH_START)) {
            throw line.malformed(BATCH_START);
        }
        return Optional.of(
                new BatchHeader(
                        line.ticks("the time of the batch"), line.wholeNumber("a batch number")));
    }

    /** Reads the events of a batch and passes each to the handler before it reads the next. */
    void readEvents(Consumer<Envelope> handler) throws IOException {
        String text = requireLine("an event");
        while (!text.equals(BATCH_END)) {
            SimulatorLine line = new SimulatorLine(text);
            if (line.name().equals(ENDPOINT_LIST)) {
                readEndpointList(line);
            } else {
                handler.accept(new Envelope(line.integer("a controller id"), line));
            }
            text = requireLine(BATCH_END);
        }
    }

    private String requireLine(String expected) throws IOException {
        String line = input.readLine();
        if (line == null) {
            throw new MalformedLineException("end of input", expected);
        }
        return line;
    }

    private void readEndpointList(SimulatorLine header) throws IOException {
        int listNumber = header.integer("an endpoint list number");
        int count = header.integer("the number of ROW lines");
        List<Endpoint> endpoints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            SimulatorLine line = new SimulatorLine(requireLine("a ROW"));
            if (!line.name().equals(ENDPOINT)) {
                throw line.malformed("a ROW");
            }
            endpoints.add(line.endpoint());
        }
        endpointLists.put(listNumber, endpoints);
    }

    /** Returns whether an event starts a controller; all other events need a running one. */
    static boolean startsController(Envelope envelope) {
        return envelope.line().name().equals(CONTROLLER_STARTED);
    }

    /** Parses the fields of an event. */
    SimulatorEvent parse(Envelope envelope) {
        SimulatorLine line = envelope.line();
        return switch (line.name()) {
            case CONTROLLER_STARTED -> controllerStarted(line);
            case "EXIT" -> new ControllerStopped();
            case "TARGETS" -> discoveryAnswered(line);
            case "JOINED" -> proxyJoined(line);
            case "LEFT" -> new ProxyLeft(line.integer("a proxy id"));
            case "HEARD" -> replicaReported(line);
            case "PROXY_STATS" -> usageReported(line);
            case "CAUGHT_UP" -> messagesAcknowledged(line);
            case "TIMER" -> new TimerFired();
            // The planner sends neither probes nor messages to other controllers.
            case "PING_RESULT", "INBOX" -> new Ignored();
            // The shards (slices) of a deployment have their own tables, which the planner does not
            // write.
            case "SLICE_LOAD", "GIVEN", "STANDING_LINE" -> new Ignored();
            default -> throw new MalformedLineException(line.name(), "the name of an event");
        };
    }

    private static SimulatorEvent controllerStarted(SimulatorLine line) {
        long seed = line.wholeNumber("a seed");
        return new ControllerStarted(seed, line.settings());
    }

    private SimulatorEvent discoveryAnswered(SimulatorLine line) {
        String kind = line.text("a list kind");
        line.wholeNumber("a serial");
        if (kind.equals("FAILED")) {
            return new DiscoveryFailed();
        }
        List<Endpoint> endpoints = endpointLists.get(line.integer("an endpoint list number"));
        if (endpoints == null) {
            throw new MalformedLineException(line.name(), "a SHEET with that number before it");
        }
        return new EndpointsListed(endpoints, kind.equals("INCREMENTAL"));
    }

    private static SimulatorEvent proxyJoined(SimulatorLine line) {
        boolean standingTablesOnly = line.flag("whether the proxy has standing tables only");
        String zone = line.text("a zone");
        int proxyId = line.integer("a proxy id");
        return new ProxyJoined(
                proxyId, zone, line.number("the proxy's request rate"), !standingTablesOnly);
    }

    private static SimulatorEvent replicaReported(SimulatorLine line) {
        long meanLatencyTicks = line.ticks("a mean latency");
        String zone = line.text("a zone");
        long replicaId = line.wholeNumber("a replica id");
        int failures = line.integer("the number of failed attempts");
        int attempts = line.integer("the number of attempts");
        long periodTicks = line.ticks("a period");
        Double utilization = line.metrics("a load report").get(UTILIZATION);
        return new ReplicaReported(
                zone, replicaId, attempts, failures, meanLatencyTicks, periodTicks, utilization);
    }

    private static SimulatorEvent usageReported(SimulatorLine line) {
        long failures = line.wholeNumber("the number of failed requests");
        int proxyId = line.integer("a proxy id");
        String className = line.text("a class");
        long periodTicks = line.ticks("a period");
        return new UsageReported(
                proxyId,
                className,
                line.integer("the number of requests"),
                (int) Math.min(Integer.MAX_VALUE, failures),
                periodTicks);
    }

    private static SimulatorEvent messagesAcknowledged(SimulatorLine line) {
        int serial = line.integer("a serial");
        return new MessagesAcknowledged(line.integer("a proxy id"), serial);
    }
}
