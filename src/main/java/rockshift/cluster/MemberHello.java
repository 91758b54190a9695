package rockshift.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import rockshift.raft.Membership;
import rockshift.wire.Frames;
import rockshift.wire.Hello;

/**
 * What this member says of itself at the start of a connection, and again when it changes. Updated
 * by the member's thread, read by any.
 */
final class MemberHello {
    private final long memberId;
    private final String name;

    /** Publishes the encoded hello to the reactor's thread. */
    private volatile byte[] encoded;

    /** The membership that it names. Used by the member's thread alone. */
    private Membership membership;

    MemberHello(long memberId, String name) {
        this.memberId = memberId;
        this.name = name;
    }

    byte[] encoded() {
        return encoded;
    }

    /** Whether it names this very membership. */
    boolean names(Membership current) {
        return membership == current;
    }

    void update(long cluster, Membership current) {
        try {
            membership = current;
            encoded = new Hello(Frames.VERSION, cluster, memberId, name, current).encode();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }
}
