package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import rockshift.wire.Frames;

/** Calls of a connection that was closed before a member has read any of them. */
class ClosedCallerTest extends ProcessFixture {
    /** As many as the receive buffer of a connection that is not accepted yet holds. */
    private static final int CHANGES = 250;

    private static byte[] call(String json) {
        return Frames.frame(Frames.CALL, json.getBytes(StandardCharsets.UTF_8));
    }

    private static String answer(int port, String json) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(AWAIT_TIMEOUT_MS);
            socket.getOutputStream().write(call(json));
            byte[] reply = Frames.read(new DataInputStream(socket.getInputStream())).payload();
            return new String(reply, StandardCharsets.UTF_8);
        }
    }

    private static byte[] changes() {
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        for (int serial = 1; serial <= CHANGES; serial++) {
            String change =
                    "{\\\"change\\\":\\\"hold\\\",\\\"subject\\\":\\\"s-" + serial + "\\\"}";
            frames.writeBytes(
                    call(
                            "{\"op\":\"change\",\"call\":1,\"session\":5,\"force\":true,\"serial\":"
                                    + serial
                                    + ",\"change\":\""
                                    + change
                                    + "\"}"));
        }
        return frames.toByteArray();
    }

    /** Guards against changes that are agreed although their caller has gone. */
    @Test
    void changesOfAClosedConnectionAreNotAgreed() throws Exception {
        LaunchedProcess member = run("serve", "--operator", soleMemberFile());
        int port = member.port("listens on");
        member.awaitLine("leads in term");
        assertThat(answer(port, "{\"op\":\"open\",\"call\":1,\"session\":5}")).contains("index");
        member.signal("STOP");
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.getOutputStream().write(changes());
        }
        member.signal("CONT");
        TimeUnit.SECONDS.sleep(2);
        assertThat(answer(port, "{\"op\":\"status\",\"call\":1}")).contains("\"version\":0,");
    }
}
