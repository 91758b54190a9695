package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RespCodecTest {
    private final RespCodec codec = new RespCodec();

    private List<String> kinds(byte[] received) throws MalformedStreamException {
        List<String> kinds = new ArrayList<>();
        codec.feed(ByteBuffer.wrap(received));
        while (codec.next()) {
            kinds.add(codec.kind());
        }
        return kinds;
    }

    @Test
    void messageReadByteByByteIsCompleteAtItsLastByte() throws Exception {
        byte[] message = RespCodec.message(List.of("applied", "sidecar", "17", "version", "905"));
        for (int i = 0; i < message.length - 1; i++) {
            assertThat(kinds(new byte[] {message[i]})).isEmpty();
        }
        codec.feed(ByteBuffer.wrap(message, message.length - 1, 1));
        assertThat(codec.next()).isTrue();
        assertThat(codec.wholeNumber("version")).isEqualTo(905);
    }

    /**
     * Long messages make the buffer grow. Messages after them in the same read must not be lost.
     */
    @Test
    void messagesOfAllSizesReadTogetherAreAllParsed() throws MalformedStreamException {
        StringBuilder all = new StringBuilder();
        List<String> sent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            List<String> message = List.of("k" + i, "padding", "x".repeat(i * i / 10));
            sent.add(message.get(0));
            all.append(new String(RespCodec.message(message), StandardCharsets.US_ASCII));
        }
        byte[] bytes = all.toString().getBytes(StandardCharsets.US_ASCII);
        List<String> read = new ArrayList<>();
        for (int at = 0, step = 1; at < bytes.length; at += step, step = step * 3 % 8191) {
            read.addAll(kinds(Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + step))));
        }
        assertThat(read).isEqualTo(sent);
        assertThat(codec.excessBytes())
                .as("excess bytes after long messages")
                .isLessThan(7 * RespCodec.INITIAL_BUFFER_BYTES);
    }

    @ParameterizedTest
    @CsvSource({
        "PING~~, malformed",
        "*1~$-1~, malformed",
        "*0~, malformed",
        "*-1~, malformed",
        "*x~, malformed",
        "*1~+ping~, malformed",
        "*1~$4~pingXX, malformed",
        "*99999999~, malformed",
        "*1~$1048577~, too-long"
    })
    void malformedBytesAreReportedWithTheirReason(String bytes, String code) {
        assertThatThrownBy(
                        () -> kinds(bytes.replace("~", "\r\n").getBytes(StandardCharsets.US_ASCII)))
                .isInstanceOfSatisfying(
                        MalformedStreamException.class,
                        invalid -> assertThat(invalid.reason()).hasToString(code));
    }

    /** The limit applies to the whole message, also if each of its strings is short enough. */
    @Test
    void messageSizeIsLimitedToOneMebibyte() throws MalformedStreamException {
        assertThat(kinds(RespCodec.message(List.of("k", "a", "x".repeat((1 << 20) - 100)))))
                .containsExactly("k");
        String half = "x".repeat(1 << 19);
        assertThatThrownBy(() -> kinds(RespCodec.message(List.of("k", half, half))))
                .isInstanceOfSatisfying(
                        MalformedStreamException.class,
                        invalid -> assertThat(invalid.reason()).isEqualTo(CloseReason.TOO_LONG));
    }

    @ParameterizedTest
    @CsvSource({"-1", "x", "NaN", "Infinity", "1e300", "''"})
    void numbersOutOfRangeOrMalformedAreRejected(String text) throws MalformedStreamException {
        codec.feed(ByteBuffer.wrap(RespCodec.message(List.of("joined", "share", text))));
        codec.next();
        assertThatThrownBy(() -> codec.number("share")).isInstanceOf(InvalidMessageException.class);
    }
}
