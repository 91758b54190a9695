package rockshift.server;

/** A proxy's acknowledgement that it has applied everything up to a serial number. */
record Applied(int proxyNumber, int serial) {
    static Applied decode(RespCodec message, PeerIdentity sender, MessageValidator validator)
            throws InvalidMessageException {
        validator.requireExpected(sender.isProxy(), "an acknowledgement that is not a proxy's");
        int number = message.wholeNumber(RespCodec.PROXY);
        validator.requireField(message, number == sender.proxyNumber(), RespCodec.PROXY);
        message.number(RespCodec.APPLY_DELAY);
        return new Applied(number, message.wholeNumber(RespCodec.SERIAL));
    }
}
