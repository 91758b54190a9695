package rockshift.server;

/** Number of requests of a class that arrived at a proxy during a window, in ticks of 100 us. */
record UsageReport(int proxyNumber, String className, int arrivals, long windowTicks) {
    static UsageReport decode(RespCodec message, PeerIdentity sender, MessageValidator validator)
            throws InvalidMessageException {
        validator.requireExpected(sender.isIdentified(), "usage report from an unidentified peer");
        int number = validator.proxyNumber(message);
        boolean ofSender = !sender.isProxy() || number == sender.proxyNumber();
        validator.requireField(message, ofSender, RespCodec.PROXY);
        String className = validator.className(message);
        // Only the format is checked: a request that failed may have arrived before the window, so
        // more requests can fail in a window than arrive in it.
        message.wholeNumber(RespCodec.FAILED);
        return new UsageReport(
                number,
                className,
                validator.count(message),
                validator.durationTicks(message, RespCodec.WINDOW));
    }
}
