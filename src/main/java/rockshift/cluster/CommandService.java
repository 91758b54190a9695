package rockshift.cluster;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import rockshift.raft.Member;
import rockshift.wire.Frames;

/**
 * Carries out the calls of commands and replies to them. Calls come on the reactor's thread, which
 * hands them on to the member's; that one owns all else here.
 */
final class CommandService {
    /** Whom to reply to, and under which number. */
    private record Caller(MemberConnection connection, long callNumber) {}

    private final MemberInputs inputs;
    private final Engine engine;
    private final AgreedState agreed;
    private final LocalController controller;
    private final ChangeHistory history;
    private final StatusWriter status;

    /** By the engine's number of a request, who waits for its answer. */
    private final Map<Long, Caller> callers = new HashMap<>();

    private long lastRequest;

    CommandService(
            MemberInputs inputs,
            Engine engine,
            AgreedState agreed,
            LocalController controller,
            ChangeHistory history,
            StatusWriter status) {
        this.inputs = inputs;
        this.engine = engine;
        this.agreed = agreed;
        this.controller = controller;
        this.history = history;
        this.status = status;
    }

    /** A call has come on a connection. Called by the reactor's thread. */
    void callReceived(MemberConnection from, byte[] payload) {
        try {
            CommandCall call = CommandCall.parse(payload);
            if (!inputs.offer(() -> execute(from, call))) {
                refuse(from, call.callNumber(), "busy");
            }
        } catch (IOException malformed) {
            refuse(from, 0, "malformed: " + malformed.getMessage());
        }
    }

    private static void refuse(MemberConnection to, long callNumber, String refusal) {
        to.send(Frames.REPLY, CommandReply.refusal(callNumber, refusal));
    }

    private void execute(MemberConnection from, CommandCall call) {
        long callNumber = 0;
        try {
            callNumber = call.callNumber();
            lastRequest++;
            callers.put(lastRequest, new Caller(from, callNumber));
            execute(lastRequest, call);
        } catch (IOException malformed) {
            callers.remove(lastRequest);
            refuse(from, callNumber, "malformed: " + malformed.getMessage());
        }
    }

    private void execute(long request, CommandCall call) throws IOException {
        String operation = call.text("op", "");
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
            case "change" -> change(request, call);
            default -> throw new IOException("field op: '" + operation + "' is not known");
        }
    }

    /** The id of the member with a name; 0 where there is none. */
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

    private void change(long request, CommandCall call) throws IOException {
        Change change =
                complete(Change.read(call.text("change", "").getBytes(StandardCharsets.UTF_8)));
        String objection = objection(change, call);
        if (objection != null) {
            answer(request, new Engine.Answer(objection, new byte[0], 0, null));
        } else {
            engine.proposeChange(
                    request, call.number("session"), call.number("serial"), change.json());
        }
    }

    /** Adds what the controller knows of the replica: its start and its zone. */
    private Change complete(Change asked) {
        Change change = asked;
        if (change.kind() == Change.Kind.DRAIN && change.started() == 0) {
            change = change.startedAt(controller.startedMillis(change.subject()));
        }
        if (change.isScoped() && change.zone().isEmpty()) {
            change = change.inZone(controller.zoneOf(change.subject()));
        }
        return change;
    }

    /**
     * Why a change is refused before it is proposed, or null. A change that is sent again is not
     * checked here: it may have been applied, and only the state can tell, by its serial number.
     */
    private String objection(Change change, CommandCall call) {
        if (!engine.raft().isLeader() || call.flag("again")) {
            return null;
        }
        String objection = agreed.objection(change);
        if (objection == null && !call.flag("force")) {
            objection = controller.objection(change, agreed.drains());
        }
        return objection;
    }

    private void reply(long request, CommandReply.Fields fields) {
        Caller caller = callers.remove(request);
        if (caller != null) {
            caller.connection.send(Frames.REPLY, CommandReply.encode(caller.callNumber, fields));
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
