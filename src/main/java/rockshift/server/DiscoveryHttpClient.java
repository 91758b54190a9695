package rockshift.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.entity.AbstractBinAsyncEntityConsumer;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.http.nio.support.BasicResponseConsumer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.reactor.ssl.TransportSecurityLayer;
import org.apache.hc.core5.util.Timeout;

/**
 * HTTP client for discovery. It keeps one connection between calls and limits the time and the size
 * of an answer. Used by one thread. The first call starts the HTTP library's thread and {@link
 * #close} stops it; a later call starts a new one.
 */
final class DiscoveryHttpClient implements AutoCloseable {
    /** Fits tens of thousands of replicas, and is an eighth of the heap. */
    private static final int MAX_ANSWER_BYTES = 8 << 20;

    private static final int STATUS_OK = 200;

    /** Timeout after which the library itself drops a connection; longer than any call. */
    private final int abandonTimeoutMillis;

    private HttpAsyncRequester requester;
    private AsyncClientEndpoint endpoint;

    DiscoveryHttpClient(int abandonTimeoutMillis) {
        this.abandonTimeoutMillis = abandonTimeoutMillis;
    }

    /**
     * Gets a path and returns the answer's body.
     *
     * @throws IOException if the status is not 200
     * @throws TimeoutException if the connection or the answer takes longer than its limit
     */
    byte[] get(HttpHost host, String path, int connectTimeoutMillis, int answerTimeoutMillis)
            throws IOException, ExecutionException, TimeoutException, InterruptedException {
        if (endpoint == null || !endpoint.isConnected()) {
            disconnect();
            endpoint = connect(host, connectTimeoutMillis);
        }
        Future<Message<HttpResponse, byte[]>> call =
                endpoint.execute(
                        AsyncRequestBuilder.get().setHttpHost(host).setPath(path).build(),
                        new BasicResponseConsumer<>(new BoundedBody()),
                        null);
        Message<HttpResponse, byte[]> answer = call.get(answerTimeoutMillis, TimeUnit.MILLISECONDS);
        if (answer.getHead().getCode() != STATUS_OK || answer.getBody() == null) {
            throw new IOException(
                    "expected HTTP status 200 with a body, got status "
                            + answer.getHead().getCode());
        }
        return answer.getBody();
    }

    /** Closes the connection, which ends a pending call. The next call opens another. */
    void disconnect() {
        if (endpoint != null) {
            endpoint.releaseAndDiscard();
            endpoint = null;
        }
    }

    @Override
    public void close() {
        if (requester != null) {
            requester.close(CloseMode.IMMEDIATE);
        }
    }

    private void startRequester() {
        if (requester != null && requester.getStatus() == IOReactorStatus.ACTIVE) {
            return;
        }
        close();
        IOReactorConfig config =
                IOReactorConfig.custom().setIoThreadCount(1).setTcpNoDelay(true).build();
        requester =
                AsyncRequesterBootstrap.bootstrap()
                        .setIOReactorConfig(config)
                        .setTlsStrategy(new NoTls())
                        .create();
        requester.start();
    }

    /**
     * Opens a connection. The library's own timeout also applies to later reads, so it must leave
     * time for a watch; the future enforces the timeout given here.
     */
    private AsyncClientEndpoint connect(HttpHost host, int timeoutMillis)
            throws ExecutionException, TimeoutException, InterruptedException {
        startRequester();
        CompletableFuture<AsyncClientEndpoint> connecting = new CompletableFuture<>();
        requester.connect(
                host,
                Timeout.ofMilliseconds(abandonTimeoutMillis),
                null,
                new ConnectCallback(connecting));
        try {
            return connecting.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } finally {
            connecting.cancel(false);
        }
    }

    /**
     * Completes a future with the connection. A connection that is established after the future was
     * cancelled is closed: otherwise the library would count it as in use forever, and it allows
     * only a few.
     */
    private record ConnectCallback(CompletableFuture<AsyncClientEndpoint> connecting)
            implements FutureCallback<AsyncClientEndpoint> {
        @Override
        public void completed(AsyncClientEndpoint connected) {
            if (!connecting.complete(connected)) {
                connected.releaseAndDiscard();
            }
        }

        @Override
        public void failed(Exception failure) {
            connecting.completeExceptionally(failure);
        }

        @Override
        public void cancelled() {
            connecting.cancel(false);
        }
    }

    /**
     * Keeps the library from loading its TLS classes, which are a fifth of all classes loaded at
     * start. Discovery uses plain HTTP.
     */
    private static final class NoTls implements TlsStrategy {
        @Override
        public boolean upgrade(
                TransportSecurityLayer session,
                HttpHost host,
                SocketAddress local,
                SocketAddress remote,
                Object attachment,
                Timeout timeout) {
            return false;
        }
    }

    /** Collects the body of an answer up to the maximum size. */
    private static final class BoundedBody extends AbstractBinAsyncEntityConsumer<byte[]> {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        @Override
        protected void streamStart(ContentType type) {
            bytes.reset();
        }

        @Override
        protected int capacityIncrement() {
            return MAX_ANSWER_BYTES;
        }

        @Override
        protected void data(ByteBuffer received, boolean last) throws IOException {
            if (bytes.size() + received.remaining() > MAX_ANSWER_BYTES) {
                throw new IOException(
                        "discovery answer too long: over " + MAX_ANSWER_BYTES + " bytes");
            }
            byte[] chunk = new byte[received.remaining()];
            received.get(chunk);
            bytes.writeBytes(chunk);
        }

        @Override
        protected byte[] generateContent() {
            return bytes.toByteArray();
        }

        @Override
        public void releaseResources() {
            bytes.reset();
        }
    }
}
