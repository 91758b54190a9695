package rockshift.server;

/** Where the messages for one proxy go. */
interface ProxyChannel {
    /**
     * Sends an encoded message. Neither waits nor fails; what cannot be sent any more is dropped.
     */
    void send(byte[] message);
}
