package rockshift.server;

/** The first message of a zone's collector. */
record CollectorHello(String zone) {
    static CollectorHello decode(RespCodec message, PeerIdentity sender, MessageValidator validator)
            throws InvalidMessageException {
        validator.requireExpected(
                !sender.isIdentified(), "a collector that has identified itself before");
        return new CollectorHello(validator.zone(message));
    }
}
