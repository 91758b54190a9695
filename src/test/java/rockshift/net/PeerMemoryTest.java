package rockshift.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whom it costs that a process holds too much for its peers. */
class PeerMemoryTest {
    private static final long LIMIT_BYTES = 1 << 20;

    private final PeerMemory memory = new PeerMemory(LIMIT_BYTES);
    private final List<String> closed = new ArrayList<>();

    private PeerMemory.Account open(String name) {
        return memory.open(() -> closed.add(name));
    }

    /** Guards against a limit that costs the peer that happens to be read next. */
    @Test
    void peerThatHoldsMostIsClosedForAnotherOne() {
        PeerMemory.Account large = open("large");
        PeerMemory.Account small = open("small");
        assertThat(large.charge(900_000)).isTrue();
        assertThat(small.charge(100_000)).isTrue();
        assertThat(closed).isEmpty();
        assertThat(small.charge(100_000)).isTrue();
        assertThat(closed).containsExactly("large");
        assertThat(large.charge(1)).isFalse();
        large.close();
        assertThat(memory.heldBytes()).isEqualTo(small.heldBytes());
    }

    /** Guards against memory that is allocated although it was not granted. */
    @Test
    void chargeOfThePeerThatHoldsMostIsRefused() {
        PeerMemory.Account only = open("only");
        long before = memory.heldBytes();
        assertThat(only.charge(LIMIT_BYTES)).isFalse();
        assertThat(closed).containsExactly("only");
        assertThat(memory.heldBytes()).isEqualTo(before);
    }

    /** Guards against an attacker whose connections close those to members or relays. */
    @Test
    void outgoingConnectionIsRefusedMemoryButNotClosed() {
        PeerMemory.Account outgoing = memory.openOutgoing();
        assertThat(outgoing.charge(800_000)).isTrue();
        PeerMemory.Account peer = open("peer");
        assertThat(peer.charge(400_000)).isFalse();
        assertThat(closed).containsExactly("peer");
        peer.close();
        assertThat(outgoing.charge(LIMIT_BYTES)).isFalse();
        outgoing.release(800_000);
        assertThat(outgoing.charge(400_000)).isTrue();
    }

    /** Guards against connections that are closed while their memory was enough already. */
    @Test
    void closesNoMoreThanNeeded() {
        List<PeerMemory.Account> accounts = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            PeerMemory.Account account = open("peer-" + i);
            assertThat(account.charge(90_000 + i)).isTrue();
            accounts.add(account);
        }
        assertThat(accounts.get(0).charge(150_000)).isFalse();
        assertThat(closed).containsExactly("peer-0");
        assertThat(accounts.get(1).charge(50_000)).isTrue();
        assertThat(closed).hasSize(1);
    }
}
