package rockshift.server;

/** The first message of a zone's collector. */
record CollectorHello(String zone) {
    static CollectorHello decode(RespCodec message, PeerIdentity sender, MessageValidator validator)
            throws InvalidMessageException {
        validator.requireExpected(!sender.isIdentified(), "second identification, as a collector");
        return new CollectorHello(validator.zone(message));
    }
}
