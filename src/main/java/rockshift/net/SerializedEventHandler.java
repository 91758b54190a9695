package rockshift.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.locks.Lock;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * Delivers the events of a connection while a lock is held that all connections of a {@link
 * SupervisedReactor} share, and counts the connection in its generation while it is open.
 */
final class SerializedEventHandler implements IOEventHandler {
    private final IOEventHandler handler;
    private final Lock lock;
    private final ReactorGeneration generation;

    SerializedEventHandler(IOEventHandler handler, Lock lock, ReactorGeneration generation) {
        this.handler = handler;
        this.lock = lock;
        this.generation = generation;
    }

    @Override
    public void connected(IOSession session) throws IOException {
        generation.connected(session);
        lock.lock();
        try {
            handler.connected(session);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        lock.lock();
        try {
            handler.inputReady(session, source);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void outputReady(IOSession session) throws IOException {
        lock.lock();
        try {
            handler.outputReady(session);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void timeout(IOSession session, Timeout timeout) throws IOException {
        lock.lock();
        try {
            handler.timeout(session, timeout);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void exception(IOSession session, Exception failure) {
        lock.lock();
        try {
            handler.exception(session, failure);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void disconnected(IOSession session) {
        generation.disconnected(session);
        lock.lock();
        try {
            handler.disconnected(session);
        } finally {
            lock.unlock();
        }
    }
}
