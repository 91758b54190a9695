package rockshift.server;

/** Sends messages to one proxy. */
interface ProxyChannel {
    /**
     * Sends an encoded message. Neither blocks nor fails; a message that cannot be sent is dropped.
     */
    void send(byte[] message);
}
