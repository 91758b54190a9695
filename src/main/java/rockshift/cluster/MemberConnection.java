package rockshift.cluster;

import java.io.IOException;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.cluster.IncomingConnectionLimits.Role;
import rockshift.wire.FramedConnection;
import rockshift.wire.Frames;
import rockshift.wire.Hello;

/**
 * One connection of a member: to another member, or from a member, a command or a subscriber.
 * Frames come on the reactor's thread; {@link #send} may be called by any.
 */
final class MemberConnection extends FramedConnection {
    private static final Logger LOG = LoggerFactory.getLogger(MemberConnection.class);

    /** Bytes that may wait to be sent: a flight of full messages. */
    private static final int MAX_UNSENT_BYTES = 8 << 20;

    /** How long a new connection may take until its first frame. */
    private static final int IDENTIFY_TIMEOUT_MS = 2_000;

    /** How long an identified one may be silent. */
    private static final int IDLE_TIMEOUT_MS = 60_000;

    private final MemberConnections connections;

    /** What was dialled for this connection, or null where the other side has opened it. */
    private final OutgoingPeer dialled;

    /** What the other member has said of itself, or null. */
    private Hello peerHello;

    /** Of a connection that the other side has opened. */
    private Role role;

    MemberConnection(IOSession session, MemberConnections connections, OutgoingPeer dialled) {
        super(session, connections.readBuffer(), MAX_UNSENT_BYTES);
        this.connections = connections;
        this.dialled = dialled;
    }

    @Override
    public void connected(IOSession same) {
        if (dialled == null) {
            if (enter(Role.UNIDENTIFIED)) {
                session().setSocketTimeout(Timeout.ofMilliseconds(IDENTIFY_TIMEOUT_MS));
            }
        } else {
            dialled.connected(this);
            session().setSocketTimeout(Timeout.DISABLED);
            sendHello();
        }
    }

    /** Says who this member is. */
    void sendHello() {
        send(Frames.HELLO, connections.handler().hello());
    }

    /** Takes on another role; closes the connection where there are too many of that. */
    private boolean enter(Role next) {
        boolean allowed = connections.limits().enter(role, next);
        role = next;
        if (!allowed) {
            end("crowded", "");
        }
        return allowed;
    }

    @Override
    protected void take(Frames.Frame frame) throws IOException {
        if (role == Role.UNIDENTIFIED && !identify(frame)) {
            return;
        }
        boolean subscribes = role == Role.SUBSCRIBER;
        if (subscribes != (frame.kind() == Frames.WATCH)) {
            throw new Frames.InvalidFrameException("unexpected", "a frame of kind " + frame.kind());
        }
        switch (frame.kind()) {
            case Frames.HELLO -> helloReceived(Hello.decode(frame.payload()));
            case Frames.MESSAGE -> messageReceived(frame.payload());
            case Frames.CALL -> connections.handler().callReceived(this, frame.payload());
            case Frames.WATCH -> connections.subscribers().received(this, frame.payload());
            default ->
                    throw new Frames.InvalidFrameException(
                            "unknown-kind", "a frame of kind " + frame.kind());
        }
    }

    /** Learns from its first frame what the connection is; false where there are too many. */
    private boolean identify(Frames.Frame first) {
        session().setSocketTimeout(Timeout.ofMilliseconds(IDLE_TIMEOUT_MS));
        boolean subscribes = first.kind() == Frames.WATCH;
        if (!enter(subscribes ? Role.SUBSCRIBER : Role.MEMBER_OR_COMMAND)) {
            return false;
        }
        if (subscribes) {
            connections.subscribers().opened(this);
        }
        return true;
    }

    private void helloReceived(Hello hello) {
        peerHello = hello;
        if (dialled == null) {
            sendHello();
        }
        connections.handler().helloReceived(hello);
    }

    private void messageReceived(byte[] payload) throws IOException {
        if (peerHello == null) {
            throw new Frames.InvalidFrameException(
                    "unexpected", "a message before its sender's name");
        }
        connections.handler().messageReceived(payload, peerHello.cluster());
    }

    @Override
    protected void quiet() {
        end(peerHello == null ? "not-joined" : "idle", "");
    }

    @Override
    protected void failed(Exception failure) {
        LOG.error("member connection failed", failure);
    }

    @Override
    protected void ended() {
        connections.limits().leave(role);
        if (dialled != null) {
            dialled.disconnected(this);
        }
        if (role == Role.SUBSCRIBER) {
            connections.subscribers().ended(this);
        } else {
            logEnd();
        }
    }

    /** Commands come and go: the end of theirs is logged only where it was no ordinary one. */
    private void logEnd() {
        String reason = reason();
        boolean ordinaryCommand = reason == null || reason.equals("left");
        if (dialled == null && peerHello == null && ordinaryCommand) {
            return;
        }
        LOG.info(
                "closed member connection peer={} reason={}{}",
                peerHello == null ? from() : peerHello.name(),
                reason == null ? "stopping" : reason,
                about().isEmpty() ? "" : " detail=\"" + about() + "\"");
    }
}
