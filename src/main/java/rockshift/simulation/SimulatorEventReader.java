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
 * Reads batches of events from the simulator's wire, whose words for them are known to this class
 * alone. Used by the adapter's one thread.
 */
final class SimulatorEventReader {
    /** The head of a batch: the time at which it is played, and its number. */
    record BatchHeader(long nowTicks, long number) {}

    /** An event of one controller, whose fields have not been read yet. */
    record Envelope(int controllerId, SimulatorLine line) {}

    private static final String BATCH_START = "CLOCK";
    private static final String BATCH_END = "OVER_TO_YOU";
    private static final String ENDPOINT_LIST = "SHEET";
    private static final String ENDPOINT = "ROW";
    private static final String CONTROLLER_STARTED = "HELLO";

    /** The metric of a load report that tells how busy a replica is. */
    private static final String UTILIZATION = "util";

    private final BufferedReader input;

    /** The newest list of each number; numbers are used again, even within one batch. */
    private final Map<Integer, List<Endpoint>> endpointLists = new HashMap<>();

    SimulatorEventReader(BufferedReader input) {
        this.input = input;
    }

    /** The head of the next batch, or nothing at the end of the input. */
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
                new BatchHeader(line.ticks("the clock"), line.wholeNumber("a batch number")));
    }

    /** Reads the events of a batch; each is handled before the next is read. */
    void readEvents(Consumer<Envelope> handler) throws IOException {
        String text = requireLine("an event");
        while (!text.equals(BATCH_END)) {
            SimulatorLine line = new SimulatorLine(text);
            if (line.name().equals(ENDPOINT_LIST)) {
                readEndpointList(line);
            } else {
                handler.accept(new Envelope(line.integer("a governor"), line));
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
        int listNumber = header.integer("a page");
        int count = header.integer("the number of records");
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

    /** Whether an event starts a controller; the others are for one that runs. */
    static boolean startsController(Envelope envelope) {
        return envelope.line().name().equals(CONTROLLER_STARTED);
    }

    /** Reads the fields of an event. */
    SimulatorEvent parse(Envelope envelope) {
        SimulatorLine line = envelope.line();
        return switch (line.name()) {
            case CONTROLLER_STARTED -> controllerStarted(line);
            case "EXIT" -> new ControllerStopped();
            case "TARGETS" -> discoveryAnswered(line);
            case "JOINED" -> proxyJoined(line);
            case "LEFT" -> new ProxyLeft(line.integer("a proxy"));
            case "HEARD" -> replicaReported(line);
            case "PROXY_STATS" -> usageReported(line);
            case "CAUGHT_UP" -> messagesAcknowledged(line);
            case "TIMER" -> new TimerFired();
            // The planner sends no probes, and nothing to other controllers.
            case "PING_RESULT", "INBOX" -> new Ignored();
            // Deployments with slices have tables of their own, which the planner does not write.
            case "SLICE_LOAD", "GIVEN", "STANDING_LINE" -> new Ignored();
            default -> throw new MalformedLineException(line.name(), "an event of the wire");
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
        List<Endpoint> endpoints = endpointLists.get(line.integer("a page"));
        if (endpoints == null) {
            throw new MalformedLineException(line.name(), "a SHEET of that page before it");
        }
        return new EndpointsListed(endpoints, kind.equals("INCREMENTAL"));
    }

    private static SimulatorEvent proxyJoined(SimulatorLine line) {
        line.flag("whether it holds standing tables only");
        String zone = line.text("a zone");
        int proxyId = line.integer("a proxy");
        return new ProxyJoined(proxyId, zone, line.number("its size"));
    }

    private static SimulatorEvent replicaReported(SimulatorLine line) {
        long meanLatencyTicks = line.ticks("a mean time");
        String zone = line.text("a zone");
        long replicaId = line.wholeNumber("a replica");
        int failures = line.integer("lost tries");
        int attempts = line.integer("tries");
        long periodTicks = line.ticks("a span");
        Double utilization = line.metrics("a load report").get(UTILIZATION);
        return new ReplicaReported(
                zone, replicaId, attempts, failures, meanLatencyTicks, periodTicks, utilization);
    }

    private static SimulatorEvent usageReported(SimulatorLine line) {
        line.wholeNumber("lost transactions");
        int proxyId = line.integer("a proxy");
        String className = line.text("a class");
        long periodTicks = line.ticks("a span");
        return new UsageReported(proxyId, className, line.integer("transactions"), periodTicks);
    }

    private static SimulatorEvent messagesAcknowledged(SimulatorLine line) {
        int serial = line.integer("a serial");
        return new MessagesAcknowledged(line.integer("a proxy"), serial);
    }
}
