package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.SocketTimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Controllers as processes that cannot learn what operators agreed on. */
class UnknownAgreedStateTest extends ProcessFixture {
    /** Longer than a proxy without ordered tables waits. */
    private static final int WATCHED_MS = 5_000;

    private LaunchedProcess controller(String operatorBlock) throws Exception {
        return run("serve", "--operator", operatorFile("controller", operatorBlock));
    }

    private String replacedMember() {
        return "cluster {\n  name = \"n1\"\n  listen = \"127.0.0.1:0\"\n  folder = \""
                + folder.resolve("n1")
                + "\"\n  initial_cluster = \"existing\"\n"
                + "  founder \"n1\" { address = \"127.0.0.1:0\" }\n}\n";
    }

    private static String subscriber() {
        return "distribution {\n  name = \"g1\"\n  upstream \"r1\" { address = \"127.0.0.1:1\" }\n"
                + "  scope { everything = true }\n}\n";
    }

    /**
     * Guards against tables with replicas that operators hold: the controller of a replaced member,
     * or of a subscriber without upstream, wrote them to proxies that had the right ones.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void proxyKeepsTheTablesThatAnotherControllerWrote(boolean member) throws Exception {
        LaunchedProcess controller = controller(member ? replacedMember() : subscriber());
        Peer proxy = controller.peer().send("joined sidecar 3 az east share 21.5 standing 0");
        proxy.socket.setSoTimeout(WATCHED_MS);
        assertThatThrownBy(proxy::receive).isInstanceOf(SocketTimeoutException.class);
    }

    /** Guards against a proxy that has just started and is left without a replica. */
    @Test
    void proxyWithoutOrderedTablesIsBound() throws Exception {
        Peer proxy =
                controller(replacedMember())
                        .peer()
                        .send("joined sidecar 4 az east share 21.5 standing 1");
        assertThat(proxy.receive("whole", "1")).containsKey("lines");
    }
}
