package rockshift.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.wire.Frames;

/** One connection that sends calls to a member as fast as it can. */
class CommandFloodTest extends ClusterFixture {
    /** The time after which the client sends a change again. */
    private static final long MAX_CHANGE_MS = 1_000;

    private static final int CHANGES = 20;
    private static final int CALLS_PER_WRITE = 500;

    /** Set when the flood must end; read by its thread. */
    private volatile boolean ended;

    private static byte[] call(String json) {
        return Frames.frame(Frames.CALL, json.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] repeated(byte[] frame, int count) {
        byte[] all = new byte[frame.length * count];
        for (int i = 0; i < count; i++) {
            System.arraycopy(frame, 0, all, i * frame.length, frame.length);
        }
        return all;
    }

    private void startFlood(byte[] frames) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), members[0].port());
        Thread reader = new Thread(() -> readAll(socket));
        Thread writer = new Thread(() -> writeAll(socket, frames));
        for (Thread thread : List.of(reader, writer)) {
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void writeAll(Socket socket, byte[] frames) {
        try (socket) {
            while (!ended) {
                socket.getOutputStream().write(frames);
            }
        } catch (IOException closed) {
            // The member has closed the connection.
        }
    }

    private static void readAll(Socket socket) {
        byte[] chunk = new byte[1 << 16];
        try {
            while (socket.getInputStream().read(chunk) >= 0) {
                continue;
            }
        } catch (IOException closed) {
            // The flood has ended.
        }
    }

    /** Guards against a change that waits seconds behind the calls of another connection. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"op\":\"status\",\"call\":1}",
                "{\"op\":\"nothing\",\"call\":1}",
                "{\"op\":\"open\",\"call\":1,\"session\":77}",
                "no call at all"
            })
    void changeIsAgreedBesideAFloodOfCalls(String flood) throws Exception {
        start(0, 1);
        await(() -> leader() == 0);
        startFlood(repeated(call(flood), CALLS_PER_WRITE));
        TimeUnit.SECONDS.sleep(1);
        List<Long> tookMillis = new ArrayList<>();
        try (ClusterClient client = client(0)) {
            for (int i = 0; i < CHANGES; i++) {
                long from = System.nanoTime();
                client.change(hold("s-" + i), false, deadlineMillis());
                tookMillis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from));
            }
        } finally {
            ended = true;
        }
        assertThat(tookMillis).allSatisfy(took -> assertThat(took).isLessThan(MAX_CHANGE_MS));
        assertThat(members[0].isLeader()).isTrue();
    }
}
