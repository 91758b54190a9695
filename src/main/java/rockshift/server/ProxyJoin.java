package rockshift.server;

/**
 * The first message of a proxy.
 *
 * @param requestsPerSecond the proxy's own rough figure of its rate
 */
record ProxyJoin(int proxyNumber, String zone, double requestsPerSecond) {
    static ProxyJoin decode(RespCodec message, PeerIdentity sender, MessageValidator validator)
            throws InvalidMessageException {
        validator.requireExpected(
                !sender.isIdentified(), "a proxy that has identified itself before");
        return new ProxyJoin(
                validator.proxyNumber(message),
                validator.zone(message),
                message.number(RespCodec.REQUEST_RATE));
    }
}
