package rockshift.server;

/**
 * Observations of one replica by the proxies of a zone during a window, sent by the zone's
 * collector.
 *
 * @param meanResponseTicks mean response time of the attempts that did not fail, in ticks of 100 us
 * @param utilization utilization that the replica itself reported, or null if it reported none
 */
record LoadReport(
        String zone,
        long replicaId,
        int attempts,
        int failures,
        long meanResponseTicks,
        long windowTicks,
        Double utilization) {
    static LoadReport decode(RespCodec message, PeerIdentity sender, MessageValidator validator)
            throws InvalidMessageException {
        validator.requireExpected(
                sender.isCollector(), "load report from a peer that is not a collector");
        boolean ofOwnZone = message.text(RespCodec.ZONE).equals(sender.zone());
        validator.requireField(message, ofOwnZone, RespCodec.ZONE);
        int attempts = validator.count(message);
        int failures = message.wholeNumber(RespCodec.FAILED);
        validator.requireField(message, failures <= attempts, RespCodec.FAILED);
        return new LoadReport(
                sender.zone(),
                ReplicaIds.idOf(message.text(RespCodec.REPLICA)),
                attempts,
                failures,
                validator.durationTicks(message, RespCodec.MEAN_TIME),
                validator.durationTicks(message, RespCodec.WINDOW),
                validator.utilization(message));
    }
}
