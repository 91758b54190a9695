package rockshift.simulation;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import rockshift.simulation.SimulatorEvent.ControllerStarted;
import rockshift.simulation.SimulatorEvent.ControllerStopped;
import rockshift.simulation.SimulatorEventReader.BatchHeader;
import rockshift.simulation.SimulatorEventReader.Envelope;

/**
 * Hosts controllers behind the simulator protocol, with one reply for each batch of events. All
 * work is done on the thread that calls {@link #run}.
 */
public final class SimulatorAdapter {
    private static final int EXIT_SUCCESS = 0;
    private static final int EXIT_MALFORMED_INPUT = 1;

    private final SimulatorEventReader events;
    private final Map<Integer, SimulatedController> controllers = new HashMap<>();

    private SimulatorAdapter(InputStream in) {
        events =
                new SimulatorEventReader(
                        new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)));
    }

    /**
     * Answers batches of events until the end of the input.
     *
     * @return the exit status of the process
     * @throws IOException if the input or the output fails
     */
    public static int run(InputStream in, OutputStream out) throws IOException {
        SimulatorAdapter adapter = new SimulatorAdapter(in);
        try {
            adapter.answerBatches(out);
            return EXIT_SUCCESS;
        } catch (MalformedLineException malformed) {
            System.err.println(malformed.getMessage());
            return EXIT_MALFORMED_INPUT;
        }
    }

    private void answerBatches(OutputStream out) throws IOException {
        for (Optional<BatchHeader> batch = events.nextBatch();
                batch.isPresent();
                batch = events.nextBatch()) {
            out.write(answer(batch.get()).toBytes());
            out.flush();
        }
    }

    private SimulatorReply answer(BatchHeader batch) throws IOException {
        SimulatorReply reply = new SimulatorReply();
        Set<Integer> controllersWithEvents = new LinkedHashSet<>();
        events.readEvents(
                event -> {
                    int controllerId = event.controllerId();
                    controllersWithEvents.add(controllerId);
                    guard(controllerId, reply, () -> handle(event, batch.nowTicks(), reply));
                });
        for (int controllerId : controllersWithEvents) {
            SimulatedController controller = controllers.get(controllerId);
            if (controller != null) {
                guard(controllerId, reply, () -> controller.decide(reply));
            }
        }
        reply.acknowledgeBatch(batch.number());
        return reply;
    }

    /** Handles one event. An event of a controller that is not running is skipped unparsed. */
    private void handle(Envelope envelope, long nowTicks, SimulatorReply reply) {
        SimulatedController controller = controllers.get(envelope.controllerId());
        if (controller == null && !SimulatorEventReader.startsController(envelope)) {
            return;
        }
        SimulatorEvent event = events.parse(envelope);
        if (event instanceof ControllerStarted start) {
            startController(envelope.controllerId(), start, nowTicks, reply);
        } else if (event instanceof ControllerStopped) {
            controllers.remove(envelope.controllerId());
        } else {
            controller.handle(event, nowTicks, reply);
        }
    }

    private void startController(
            int controllerId, ControllerStarted start, long nowTicks, SimulatorReply reply) {
        controllers.put(controllerId, new SimulatedController(controllerId, start, nowTicks));
        if (start.settings().subscribesToDiscovery()) {
            reply.subscribeToDiscovery(controllerId);
        }
    }

    /** Reports a failure of the planner to the simulator. A malformed line ends the run instead. */
    private static void guard(int controllerId, SimulatorReply reply, Runnable work) {
        try {
            work.run();
        } catch (MalformedLineException malformed) {
            throw malformed;
        } catch (RuntimeException failure) {
            failure.printStackTrace();
            reply.internalError(controllerId, failure);
        }
    }
}
