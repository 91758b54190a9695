package rockshift.server;

/**
 * The first message of a proxy.
 *
 * @param requestsPerSecond the proxy's own rough estimate of its request rate
 */
record ProxyJoin(int proxyNumber, String zone, double requestsPerSecond) {
    static ProxyJoin decode(RespCodec message, PeerIdentity sender, MessageValidator validator)
            throws InvalidMessageException {
        validator.requireExpected(!sender.isIdentified(), "second identification, as a proxy");
        return new ProxyJoin(
                validator.proxyNumber(message),
                validator.zone(message),
                message.number(RespCodec.REQUEST_RATE));
    }
}
