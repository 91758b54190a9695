package rockshift.server;

/**
 * Number of requests of a class that arrived at a proxy during a window, in ticks of 100 us.
 *
 * @param failures requests that it could not serve; some may have arrived before the window
 */
record UsageReport(
        int proxyNumber, String className, int arrivals, int failures, long windowTicks) {
    static UsageReport decode(RespCodec message, PeerIdentity sender, MessageValidator validator)
            throws InvalidMessageException {
        validator.requireExpected(sender.isIdentified(), "usage report from an unidentified peer");
        int number = validator.proxyNumber(message);
        boolean ofSender = !sender.isProxy() || number == sender.proxyNumber();
        validator.requireField(message, ofSender, RespCodec.PROXY);
        String className = validator.className(message);
        return new UsageReport(
                number,
                className,
                validator.count(message),
                // Not limited by the arrivals, since requests that failed may have arrived earlier.
                message.wholeNumber(RespCodec.FAILED),
                validator.durationTicks(message, RespCodec.WINDOW));
    }
}
