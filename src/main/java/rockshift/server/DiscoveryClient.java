package rockshift.server;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.model.Endpoint;

/**
 * The client of discovery: it keeps the list of replicas by watching where the file in force says
 * discovery is, and has the numbers under which the module knows them. It owns the connection there
 * and the version of the list that is held. Whatever discovery does, it must never lose the list
 * that it has, and never wait longer than the limits here.
 */
final class DiscoveryClient implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);

    /**
     * Ms that a watch may be held. One that fell silent shows it only when this is over, and the
     * grace of whoever drains meanwhile runs: a third of the grace that is usual. A call costs the
     * agent beside nothing.
     */
    private static final int HELD = 1_000;

    /**
     * Ms beyond that until a call counts as lost, and until a connection does: the agent is on this
     * machine and answers at once. Each loss doubles it, as the loss may be ours on a busy core, up
     * to what the protocol leaves. The first call, for the whole list, has the same time, as what
     * it would say is told all the while.
     */
    private static final int LATE = 500;

    private static final int LATEST = 2_000;

    /**
     * Ms after which the client itself ends what was given up: longer than any call, and few at a
     * time.
     */
    private static final int ABANDONED = HELD + 2 * LATEST;

    /** In place of the version of a list: the whole of it is asked for. */
    private static final long NONE = -1;

    /** Ms after a failed call: under the 200 ms that a watch outlives, and no load on the agent. */
    private static final int PAUSE = 100;

    /** Bytes of the longest answer: tens of thousands of replicas, and an eighth of the heap. */
    private static final int LONGEST = 8 << 20;

    private static final JsonFactory JSON = new JsonFactory();

    /** A list as it came, whole or what changed, with the names that its replicas have outside. */
    record Listing(long version, boolean whole, List<Endpoint> entries, Map<Long, String> names) {}

    private final Thread thread = new Thread(this, "discovery-client");
    private final EventLoop loop;

    /**
     * Where discovery is from now on, as told last. An interrupt only hurries the thread, and may
     * be lost.
     */
    private volatile HttpHost told;

    private volatile boolean closed;
    // Used by the client's thread alone: the address that is watched, and how it stands there.
    private HttpHost host;
    HttpAsyncRequester client;
    private AsyncClientEndpoint endpoint;
    private long version = NONE;
    private int late = LATE;
    private String complaint = "";

    DiscoveryClient(InetSocketAddress discovery, EventLoop loop) {
        told = host(discovery);
        this.loop = loop;
    }

    /**
     * The number of a replica: the same at every governor and after every start, as its name is.
     */
    static long number(String name) {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(name.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong() >>> 1;
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
    }

    /**
     * Notes what a replica is called. Two under one number would count as one: the later is named,
     * as staff must rename it.
     */
    static void name(Map<Long, String> names, long number, String name) {
        String before = names.put(number, name);
        if (before != null && !before.equals(name)) {
            LOG.error(
                    "replicas {} and {} have the same number, and count as one: rename one of them",
                    before,
                    name);
        }
    }

    static void take(Listing listing, EventLoop loop) {
        loop.listed(listing.entries, !listing.whole, listing.names);
    }

    private static HttpHost host(InetSocketAddress address) {
        return new HttpHost("http", address.getHostString(), address.getPort());
    }

    void start() {
        thread.start();
    }

    /**
     * Watches another address: the call in hand is dropped at once, and the list is kept meanwhile.
     */
    void follow(InetSocketAddress discovery) {
        HttpHost next = host(discovery);
        if (!next.equals(told)) {
            told = next;
            thread.interrupt();
        }
    }

    void close() {
        closed = true;
        thread.interrupt();
    }

    @Override
    public void run() {
        while (!closed) {
            try {
                watch();
            } catch (InterruptedException hurried) {
                // Told another address or to end, or neither: what was told decides.
            } finally {
                drop();
            }
        }
        end();
    }

    private void end() {
        if (client != null) {
            client.close(CloseMode.IMMEDIATE);
        }
    }

    /**
     * Watches one address until another one is told. Versions of another may be others: all is
     * asked for.
     */
    private void watch() throws InterruptedException {
        host = told;
        version = NONE;
        late = LATE;
        while (!closed && host.equals(told)) {
            try {
                Listing listing = ask();
                follows(listing);
                version = listing.version;
                take(listing, loop);
                complaint = "";
                late = LATE;
            } catch (IOException
                    | ExecutionException
                    | TimeoutException
                    | RuntimeException failure) {
                // The client answers with one of the last kind where a connection ends under a
                // call.
                complain(failure instanceof ExecutionException ? failure.getCause() : failure);
                drop();
                late = Math.min(LATEST, 2 * late);
                TimeUnit.MILLISECONDS.sleep(PAUSE);
            }
        }
    }

    /**
     * Whether a list can be added to the one that is held. One that is older, or that tells what
     * changed since nobody knows when, is not taken: all is asked for instead. What comes then
     * counts, however low its version: discovery may have begun anew, and its lists would be
     * refused for good.
     */
    private void follows(Listing listing) throws IOException {
        if (version == NONE ? !listing.whole : listing.version < version) {
            String what =
                    version == NONE
                            ? "changes in place of the whole list"
                            : "version " + listing.version;
            version = NONE;
            throw new IOException(what + " is no answer to what was asked");
        }
    }

    /** One line for each trouble, not for each try; none of a call that was dropped on purpose. */
    private void complain(Throwable cause) {
        if (closed || !host.equals(told)) {
            return;
        }
        String line = cause.toString().lines().findFirst().orElse("");
        if (!line.equals(complaint)) {
            LOG.warn("discovery: {}, list of version {} kept", line, version);
            complaint = line;
        }
    }

    private void drop() {
        if (endpoint != null) {
            endpoint.releaseAndDiscard();
            endpoint = null;
        }
    }

    /**
     * The client's own limit also holds for what is read later, so that it leaves room for a watch.
     * A connection that comes up after it was given up is ended then: the client would count it as
     * in use for good, and has room for few.
     */
    private AsyncClientEndpoint connect()
            throws ExecutionException, TimeoutException, InterruptedException {
        if (client == null || client.getStatus() != IOReactorStatus.ACTIVE) {
            end();
            client =
                    AsyncRequesterBootstrap.bootstrap()
                            .setIOReactorConfig(
                                    IOReactorConfig.custom()
                                            .setIoThreadCount(1)
                                            .setTcpNoDelay(true)
                                            .build())
                            .setTlsStrategy(new NoTls())
                            .create();
            client.start();
        }
        CompletableFuture<AsyncClientEndpoint> connecting = new CompletableFuture<>();
        client.connect(
                host,
                Timeout.ofMilliseconds(ABANDONED),
                null,
                new FutureCallback<>() {
                    @Override
                    public void completed(AsyncClientEndpoint up) {
                        if (!connecting.complete(up)) {
                            up.releaseAndDiscard();
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
                });
        try {
            return connecting.get(late, TimeUnit.MILLISECONDS);
        } finally {
            connecting.cancel(false);
        }
    }

    /**
     * One call: the whole list first, then a watch for what is newer than the list that is held.
     */
    private Listing ask()
            throws IOException, ExecutionException, TimeoutException, InterruptedException {
        if (endpoint == null || !endpoint.isConnected()) {
            drop();
            endpoint = connect();
        }
        String path =
                "/discovery/hosts" + (version == NONE ? "" : "?index=" + version + "&wait=" + HELD);
        Future<Message<HttpResponse, byte[]>> call =
                endpoint.execute(
                        AsyncRequestBuilder.get().setHttpHost(host).setPath(path).build(),
                        new BasicResponseConsumer<>(new Body()),
                        null);
        Message<HttpResponse, byte[]> answer = call.get(HELD + late, TimeUnit.MILLISECONDS);
        if (answer.getHead().getCode() != 200 || answer.getBody() == null) {
            throw new IOException("status " + answer.getHead().getCode());
        }
        try (JsonParser json = JSON.createParser(answer.getBody())) {
            json.nextToken();
            return read(json);
        }
    }

    /** Reads a list, from its opening brace to its closing one. */
    static Listing read(JsonParser json) throws IOException {
        Long version = null;
        Boolean whole = null;
        List<Endpoint> entries = new ArrayList<>();
        Map<Long, String> names = new HashMap<>();
        boolean listed = false;
        expect(json, JsonToken.START_OBJECT);
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            json.nextToken();
            switch (name) {
                case "generation" -> version = json.getLongValue();
                case "reset" -> whole = json.getBooleanValue();
                case "instances" -> {
                    listed = true;
                    expect(json, JsonToken.START_ARRAY);
                    while (json.nextToken() != JsonToken.END_ARRAY) {
                        entries.add(entry(json, names));
                    }
                }
                default -> json.skipChildren();
            }
        }
        if (version == null || whole == null || !listed) {
            throw new JsonParseException(json, "a list without generation, reset or instances");
        }
        return new Listing(version, whole, entries, names);
    }

    private static Endpoint entry(JsonParser json, Map<Long, String> names) throws IOException {
        String id = null;
        String zone = null;
        String kind = "";
        Endpoint.Health health = null;
        long started = 0;
        expect(json, JsonToken.START_OBJECT);
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            json.nextToken();
            switch (name) {
                case "instanceId" -> id = text(json);
                case "zone" -> zone = text(json);
                case "machineType" -> kind = text(json);
                case "lifecycle" -> health = Endpoint.Health.fromWireName(text(json));
                case "startedAtMs" ->
                        started = Math.round(json.getDoubleValue() * EventLoop.TENTHS_PER_MILLI);
                default -> json.skipChildren();
            }
        }
        if (id == null || zone == null || health == null) {
            throw new JsonParseException(
                    json, "an entry without instanceId, zone or a known lifecycle");
        }
        long number = number(id);
        name(names, number, id);
        return new Endpoint(number, zone, kind, health, started);
    }

    private static String text(JsonParser json) throws IOException {
        expect(json, JsonToken.VALUE_STRING);
        return json.getText();
    }

    private static void expect(JsonParser json, JsonToken token) throws IOException {
        if (json.currentToken() != token) {
            throw new JsonParseException(
                    json, "expected " + token + ", found " + json.currentToken());
        }
    }

    /**
     * Discovery is asked in plain HTTP: else the client loads all that TLS needs, a fifth of a
     * start's classes.
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

    /** The bytes of an answer, up to the longest that is taken. */
    private static final class Body extends AbstractBinAsyncEntityConsumer<byte[]> {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        @Override
        protected void streamStart(ContentType type) {
            bytes.reset();
        }

        @Override
        protected int capacityIncrement() {
            return LONGEST;
        }

        @Override
        protected void data(ByteBuffer came, boolean last) throws IOException {
            if (bytes.size() + came.remaining() > LONGEST) {
                throw new IOException("an answer of over " + LONGEST + " bytes");
            }
            byte[] piece = new byte[came.remaining()];
            came.get(piece);
            bytes.writeBytes(piece);
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
