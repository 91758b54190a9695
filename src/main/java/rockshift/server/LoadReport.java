package rockshift.server;

/**
 * What the proxies of a zone observed at one replica during a window, passed on by the zone's
 * collector.
 *
 * @param meanResponseTicks mean time of the attempts that did not fail, in ticks of 100 us
 * @param utilization the replica's own report of its load, or null where there is none
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
        validator.requireExpected(sender.isCollector(), "a load report that is not a collector's");
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
