package rockshift.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * A publisher and a subscriber connected directly; messages are delivered only when the test
 * requests it.
 */
final class DirectLink {
    final PublisherHarness server;
    final SubscriberHarness client;
    private long connection;

    DirectLink(PublisherHarness server, SubscriberHarness client) {
        this.server = server;
        this.client = client;
    }

    /** Opens a new connection as soon as the subscriber requests one. */
    void connect() {
        connection++;
        client.connectAfter(client.now());
        server.publisher.storeFreshAt(client.now());
        server.publisher.connected(connection, client.now());
        deliverToServer();
    }

    /** Breaks the connection; undelivered messages are lost. */
    void disconnect() {
        server.publisher.disconnected(connection, client.now());
        server.take(connection);
        client.sent.clear();
        client.subscriber.disconnected(client.now());
    }

    /** Delivers all messages of the client to the server. */
    void deliverToServer() {
        List<DistributionMessage> messages = new ArrayList<>(client.sent);
        client.sent.clear();
        messages.forEach(message -> server.publisher.received(connection, message, client.now()));
    }

    /** Delivers all messages of the server to the client and returns them. */
    List<DistributionMessage> deliverToClient() {
        List<DistributionMessage> messages = server.take(connection);
        client.receive(messages);
        return messages;
    }

    /**
     * Delivers messages in both directions until there are none, and returns those sent to the
     * client.
     */
    List<DistributionMessage> exchange() {
        List<DistributionMessage> all = new ArrayList<>();
        List<DistributionMessage> messages;
        do {
            messages = deliverToClient();
            all.addAll(messages);
            deliverToServer();
        } while (!messages.isEmpty());
        return all;
    }
}
