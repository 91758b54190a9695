package rockshift.cluster;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import rockshift.raft.Member;
import rockshift.raft.ProposalRejection;

/**
 * Executes the calls of commands and replies to them. {@link #callReceived} is called by the
 * reactor's thread and queues the call for the member's thread; everything else is used only by the
 * member's thread.
 */
final class CommandService {
    /** The connection to reply on, and the caller's number of the call. */
    private record Caller(MemberConnection connection, long callNumber, long heldBytes) {
        void reply(byte[] payload) {
            connection.memory().release(heldBytes);
            connection.reply(payload);
        }
    }

    /** What a call takes in addition to its texts. */
    private static final int CALL_BYTES = 1 << 10;

    /** A call is held as bytes and as decoded texts. */
    private static final int HELD_PER_PAYLOAD_BYTE = 3;

    /** Operations that a member also executes once its cluster is superseded. */
    private static final Set<String> LOCAL_OPERATIONS = Set.of("status", "log");

    private final MemberInputs inputs;
    private final ClusterBootstrap bootstrap;
    private final Engine engine;
    private final AgreedState agreed;
    private final LocalController controller;
    private final ChangeHistory history;
    private final StatusWriter status;

    /** The callers that wait for an answer, by the engine's request number. */
    private final Map<Long, Caller> callers = new HashMap<>();

    private long lastRequest;

    CommandService(
            MemberInputs inputs,
            ClusterBootstrap bootstrap,
            Engine engine,
            AgreedState agreed,
            LocalController controller,
            ChangeHistory history,
            StatusWriter status) {
        this.inputs = inputs;
        this.bootstrap = bootstrap;
        this.engine = engine;
        this.agreed = agreed;
        this.controller = controller;
        this.history = history;
        this.status = status;
    }

    /** Queues a call for the member's thread. Called by the reactor's thread. */
    void callReceived(MemberConnection from, byte[] payload) {
        long heldBytes = CALL_BYTES + (long) HELD_PER_PAYLOAD_BYTE * payload.length;
        if (!from.memory().charge(heldBytes)) {
            from.reply(CommandReply.refusal(0, "busy"));
            return;
        }
        Caller caller = new Caller(from, 0, heldBytes);
        try {
            CommandCall call = CommandCall.parse(payload);
            Caller numbered = new Caller(from, call.callNumber(), heldBytes);
            inputs.addCall(from, () -> execute(numbered, call));
        } catch (IOException malformed) {
            caller.reply(CommandReply.refusal(0, "malformed: " + malformed.getMessage()));
        }
    }

    /** Executes a call, unless its caller has closed the connection before its turn. */
    private void execute(Caller caller, CommandCall call) {
        if (!caller.connection.isOpen()) {
            return;
        }
        try {
            lastRequest++;
            callers.put(lastRequest, caller);
            execute(lastRequest, call);
        } catch (IOException malformed) {
            callers.remove(lastRequest);
            caller.reply(
                    CommandReply.refusal(
                            caller.callNumber, "malformed: " + malformed.getMessage()));
        }
    }

    private void execute(long request, CommandCall call) throws IOException {
        String operation = call.text("op", "");
        if (bootstrap.isSuperseded() && !LOCAL_OPERATIONS.contains(operation)) {
            // As if another member led: a client that knows others asks them.
            answer(request, Engine.Answer.refused(ProposalRejection.NOT_LEADER.code(), null));
            return;
        }
        switch (operation) {
            case "status" -> reply(request, status::write);
            case "log" -> {
                long from = call.number("from");
                reply(request, json -> history.write(json, from));
            }
            case "open" -> engine.openSession(request, call.number("session"));
            case "read" -> engine.requestRead(request);
            case "snapshot" -> {
                boolean begun = engine.takeSnapshot();
                reply(request, json -> json.writeBooleanField("begun", begun));
            }
            case "transfer" -> engine.transferLeadership(request, memberId(call.text("name")));
            case "remove" -> engine.changeMembership(request, memberToRemove(call), true);
            case "add" -> engine.changeMembership(request, memberToAdd(call), false);
            case "change" -> proposeChange(request, call);
            default -> throw new IOException("field op: unknown operation '" + operation + "'");
        }
    }

    /** Returns the id of the member with a name, or 0 if there is none. */
    private long memberId(String name) {
        Member member = name == null ? null : engine.raft().membership().byName(name);
        return member == null ? 0 : member.id();
    }

    private Member memberToRemove(CommandCall call) {
        String name = call.text("name");
        return new Member(memberId(name), name, "", Member.Role.LEARNER);
    }

    private static Member memberToAdd(CommandCall call) throws IOException {
        Member.Role role = call.flag("learner") ? Member.Role.LEARNER : Member.Role.JOINING;
        return new Member(call.number("id"), call.text("name"), call.text("address"), role);
    }

    private void proposeChange(long request, CommandCall call) throws IOException {
        Change change =
                complete(Change.read(call.text("change", "").getBytes(StandardCharsets.UTF_8)));
        String rejectionReason = rejectionReason(change, call);
        if (rejectionReason != null) {
            answer(request, new Engine.Answer(rejectionReason, new byte[0], 0, null));
        } else {
            engine.proposeChange(
                    request, call.number("session"), call.number("serial"), change.json());
        }
    }

    /** Fills in the replica's start time and zone from the controller, if the call has none. */
    private Change complete(Change requested) {
        Change change = requested;
        if (change.kind() == Change.Kind.DRAIN && change.started() == 0) {
            change = change.startedAt(controller.startedMillis(change.subject()));
        }
        if (change.isScoped() && change.zone().isEmpty()) {
            change = change.inZone(controller.zoneOf(change.subject()));
        }
        return change;
    }

    /**
     * Returns why a change is refused before it is proposed, or null if it is not. A retried change
     * is not checked: it may have been applied already, which only the client's session can tell by
     * the serial number.
     */
    private String rejectionReason(Change change, CommandCall call) {
        if (!engine.raft().isLeader() || call.flag("again")) {
            return null;
        }
        String rejectionReason = agreed.rejectionReason(change);
        if (rejectionReason == null && !call.flag("force")) {
            rejectionReason = controller.rejectionReason(change, agreed.drains());
        }
        return rejectionReason;
    }

    private void reply(long request, CommandReply.Fields fields) {
        Caller caller = callers.remove(request);
        if (caller != null) {
            caller.reply(CommandReply.encode(caller.callNumber, fields));
        }
    }

    /** Replies with the engine's answer to a request. */
    void answer(long request, Engine.Answer answer) {
        reply(
                request,
                json -> {
                    if (answer.refused() != null) {
                        json.writeStringField("refused", answer.refused());
                    }
                    if (answer.leader() != null) {
                        json.writeStringField("leader", answer.leader());
                    }
                    if (answer.index() > 0) {
                        json.writeNumberField("index", answer.index());
                    }
                    if (answer.body().length > 0) {
                        json.writeFieldName("answer");
                        json.writeRawValue(new String(answer.body(), StandardCharsets.UTF_8));
                    }
                });
    }
}
