package rockshift.server;

/** A proxy's acknowledgement that it has applied everything up to a serial number. */
record ProxyAcknowledgement(int proxyNumber, int serial) {
    static ProxyAcknowledgement decode(
            RespCodec message, PeerIdentity sender, MessageValidator validator)
            throws InvalidMessageException {
        validator.requireExpected(
                sender.isProxy(), "acknowledgement from a peer that is not a proxy");
        int number = message.wholeNumber(RespCodec.PROXY);
        validator.requireField(message, number == sender.proxyNumber(), RespCodec.PROXY);
        message.number(RespCodec.APPLY_DELAY);
        return new ProxyAcknowledgement(number, message.wholeNumber(RespCodec.SERIAL));
    }
}
