package rockshift.server;

/**
 * The identity of the peer of a connection: a proxy, the collector of a zone, or a peer that has
 * not identified itself yet.
 *
 * @param label name in the log, unique among identified peers
 * @param zone zone of a collector, or null
 * @param proxyNumber number of a proxy, or -1
 */
record PeerIdentity(String label, String zone, int proxyNumber) {
    private static final int NO_PROXY = -1;

    static final PeerIdentity UNIDENTIFIED = new PeerIdentity("unidentified", null, NO_PROXY);

    static PeerIdentity collector(String zone) {
        return new PeerIdentity("collector-" + zone, zone, NO_PROXY);
    }

    static PeerIdentity proxy(int number) {
        return new PeerIdentity("proxy-" + number, null, number);
    }

    boolean isIdentified() {
        return isCollector() || isProxy();
    }

    boolean isCollector() {
        return zone != null;
    }

    boolean isProxy() {
        return proxyNumber >= 0;
    }
}
