package rockshift.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import rockshift.raft.Membership;
import rockshift.wire.Frames;
import rockshift.wire.Hello;

/**
 * The hello that this member sends at the start of a connection, and again when its content
 * changes. Updated by the member's thread, read by any thread.
 */
final class MemberHello {
    private final long memberId;
    private final String name;

    /** Publishes the encoded hello to the reactor's thread. */
    private volatile byte[] encoded;

    /** The membership in the hello. Used only by the member's thread. */
    private Membership membership;

    MemberHello(long memberId, String name) {
        this.memberId = memberId;
        this.name = name;
    }

    byte[] encoded() {
        return encoded;
    }

    /** Returns whether the hello was made from this same membership object. */
    boolean hasMembership(Membership current) {
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
