package rockshift.distribution.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.distribution.RejectionReason;
import rockshift.wire.FramedConnection;
import rockshift.wire.Frames;

/**
 * A connection that carries distribution messages only. Its events are delivered on the reactor's
 * thread.
 */
final class DistributionConnection extends FramedConnection {
    private static final Logger LOG = LoggerFactory.getLogger(DistributionConnection.class);

    /** Handles the events of a connection, on the reactor's thread. */
    interface Handler {
        /** Called when the connection is established. */
        void opened(FramedConnection connection);

        /** Called with the payload of each frame. */
        void received(FramedConnection connection, byte[] payload);

        /** Called when the connection has ended, also if it was never established. */
        void ended(FramedConnection connection);
    }

    private final Handler handler;

    DistributionConnection(
            IOSession session,
            ByteBuffer readBuffer,
            int maxUnsentBytes,
            boolean outgoing,
            Handler handler) {
        super(session, readBuffer, maxUnsentBytes, outgoing);
        this.handler = handler;
    }

    @Override
    public void connected(IOSession same) {
        session().setSocketTimeout(Timeout.DISABLED);
        handler.opened(this);
    }

    @Override
    protected void frameReceived(Frames.Frame frame) throws IOException {
        if (frame.kind() != Frames.WATCH) {
            throw new Frames.InvalidFrameException(
                    "unexpected",
                    "expected a frame of kind " + Frames.WATCH + ", got kind " + frame.kind());
        }
        handler.received(this, frame.payload());
    }

    @Override
    protected void idleTimeout() {
        close(RejectionReason.SILENT.code(), "");
    }

    @Override
    protected void failed(Exception failure) {
        LOG.error("connection failed peer={}", peerAddress(), failure);
    }

    @Override
    protected void closed() {
        handler.ended(this);
    }
}
