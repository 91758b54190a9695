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
 * One connection that carries messages of the distribution and nothing else. Its events come on the
 * reactor's thread.
 */
final class DistributionConnection extends FramedConnection {
    private static final Logger LOG = LoggerFactory.getLogger(DistributionConnection.class);

    /** Hears the events of a connection, on the reactor's thread. */
    interface Handler {
        /** The connection is up. */
        void opened(FramedConnection connection);

        /** The payload of a frame came. */
        void received(FramedConnection connection, byte[] payload);

        /** The connection has ended, also one that never came up. */
        void ended(FramedConnection connection);
    }

    private final Handler handler;

    DistributionConnection(
            IOSession session, ByteBuffer readBuffer, int maxUnsentBytes, Handler handler) {
        super(session, readBuffer, maxUnsentBytes);
        this.handler = handler;
    }

    @Override
    public void connected(IOSession same) {
        session().setSocketTimeout(Timeout.DISABLED);
        handler.opened(this);
    }

    @Override
    protected void take(Frames.Frame frame) throws IOException {
        if (frame.kind() != Frames.WATCH) {
            throw new Frames.InvalidFrameException("unexpected", "a frame of kind " + frame.kind());
        }
        handler.received(this, frame.payload());
    }

    @Override
    protected void quiet() {
        end(RejectionReason.SILENT.code(), "");
    }

    @Override
    protected void failed(Exception failure) {
        LOG.error("connection failed peer={}", from(), failure);
    }

    @Override
    protected void ended() {
        handler.ended(this);
    }
}
