package rockshift.server;

/**
 * The first message of a proxy.
 *
 * @param requestsPerSecond the proxy's own rough estimate of its request rate
 * @param orderedTables whether it holds tables that a controller wrote
 */
record ProxyJoin(int proxyNumber, String zone, double requestsPerSecond, boolean orderedTables) {
    static ProxyJoin decode(RespCodec message, PeerIdentity sender, MessageValidator validator)
            throws InvalidMessageException {
        validator.requireExpected(!sender.isIdentified(), "second identification, as a proxy");
        return new ProxyJoin(
                validator.proxyNumber(message),
                validator.zone(message),
                message.number(RespCodec.REQUEST_RATE),
                message.isNo(RespCodec.STANDING));
    }
}
