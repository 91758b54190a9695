package rockshift.cluster;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.cluster.IncomingConnectionLimits.Role;
import rockshift.wire.FramedConnection;
import rockshift.wire.Frames;
import rockshift.wire.Hello;

/**
 * A connection of a member: outgoing to another member, or incoming from a member, a command or a
 * subscriber. Frames are received on the reactor's thread; {@link #send} may be called by any
 * thread.
 */
final class MemberConnection extends FramedConnection {
    private static final Logger LOG = LoggerFactory.getLogger(MemberConnection.class);

    /** The maximum number of bytes that wait to be sent: several messages of full size. */
    private static final int MAX_UNSENT_BYTES = 8 << 20;

    /** How long a new connection may take to send its first frame. */
    private static final int IDENTIFY_TIMEOUT_MS = 2_000;

    /** How long an identified incoming connection may send nothing. */
    private static final int IDLE_TIMEOUT_MS = 60_000;

    /** The number of unanswered calls from which a caller is not read. */
    private static final int MAX_OPEN_CALLS = 64;

    private final MemberConnections connections;

    /** The peer that this member connected to, or null for an incoming connection. */
    private final OutgoingPeer outgoingPeer;

    /** The last hello received from the peer, or null. */
    private Hello peerHello;

    /** The calls received on this connection that are not answered yet. */
    private final AtomicInteger openCalls = new AtomicInteger();

    /** The role of an incoming connection, or null. */
    private Role role;

    MemberConnection(IOSession session, MemberConnections connections, OutgoingPeer outgoingPeer) {
        super(session, connections.readBuffer(), MAX_UNSENT_BYTES, outgoingPeer != null);
        this.connections = connections;
        this.outgoingPeer = outgoingPeer;
    }

    @Override
    public void connected(IOSession same) {
        if (outgoingPeer == null) {
            if (enter(Role.UNIDENTIFIED)) {
                session().setSocketTimeout(Timeout.ofMilliseconds(IDENTIFY_TIMEOUT_MS));
            }
        } else {
            outgoingPeer.connected(this);
            session().setSocketTimeout(Timeout.DISABLED);
            sendHello();
        }
    }

    /** Sends this member's hello. */
    void sendHello() {
        send(Frames.HELLO, connections.handler().hello());
    }

    /** Changes the role; closes the connection if there are too many in the new role. */
    private boolean enter(Role next) {
        boolean allowed = connections.limits().enter(role, next);
        role = next;
        if (!allowed) {
            close("crowded", "");
        }
        return allowed;
    }

    @Override
    protected void frameReceived(Frames.Frame frame) throws IOException {
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
            case Frames.CALL -> callReceived(frame.payload());
            case Frames.WATCH -> connections.subscribers().received(this, frame.payload());
            default ->
                    throw new Frames.InvalidFrameException(
                            "unknown-kind", "a frame of kind " + frame.kind());
        }
    }

    /** Determines the role from the first frame; returns false if that closed the connection. */
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
        if (outgoingPeer == null) {
            sendHello();
        }
        connections.handler().helloReceived(hello);
    }

    private void messageReceived(byte[] payload) throws IOException {
        if (peerHello == null) {
            throw new Frames.InvalidFrameException(
                    "unexpected", "message received before the sender's hello");
        }
        connections.handler().messageReceived(this, payload, peerHello.cluster());
    }

    /**
     * Passes on a call, unless its caller has closed the connection. A caller whose calls are not
     * answered yet is read no further once they are too many.
     */
    private void callReceived(byte[] payload) {
        if (isInputEnded()) {
            return;
        }
        if (openCalls.incrementAndGet() >= MAX_OPEN_CALLS) {
            pauseInput();
            // The member's thread may have answered them meanwhile.
            resumeIfFewCalls(openCalls.get());
        }
        connections.handler().callReceived(this, payload);
    }

    /** Sends the reply to a call. May be called by any thread. */
    void reply(byte[] payload) {
        send(Frames.REPLY, payload);
        resumeIfFewCalls(openCalls.decrementAndGet());
    }

    private void resumeIfFewCalls(int open) {
        if (open < MAX_OPEN_CALLS / 2) {
            resumeInput();
        }
    }

    /** Returns whether the caller can still be answered. */
    boolean isOpen() {
        return reason() == null;
    }

    @Override
    protected void idleTimeout() {
        close(peerHello == null ? "not-joined" : "idle", "");
    }

    @Override
    protected void failed(Exception failure) {
        LOG.error("member connection failed", failure);
    }

    @Override
    protected void closed() {
        connections.limits().leave(role);
        connections.handler().callerEnded(this);
        if (outgoingPeer != null) {
            outgoingPeer.disconnected(this);
        }
        if (peerHello != null) {
            connections.handler().helloEnded(peerHello);
        }
        if (role == Role.SUBSCRIBER) {
            connections.subscribers().ended(this);
        } else {
            logEnd();
        }
    }

    /**
     * Logs the end of the connection, except that of a command that ended normally, since commands
     * connect often.
     */
    private void logEnd() {
        String reason = reason();
        boolean ordinaryCommand = reason == null || reason.equals("left");
        if (outgoingPeer == null && peerHello == null && ordinaryCommand) {
            return;
        }
        LOG.info(
                "closed member connection peer={} reason={}{}",
                peerHello == null ? peerAddress() : peerHello.name(),
                reason == null ? "stopping" : reason,
                reasonDetail().isEmpty() ? "" : " detail=\"" + reasonDetail() + "\"");
    }
}
