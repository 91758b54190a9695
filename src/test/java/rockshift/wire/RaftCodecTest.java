package rockshift.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Message;

/** What members write, they read; what they did not write ends in an error and nothing else. */
class RaftCodecTest {
    private static Message any(long seed) {
        SplittableRandom r = new SplittableRandom(seed);
        Membership members =
                new Membership(
                        List.of(
                                new Member(r.nextLong(), "n1", "a:1", Member.Role.VOTER),
                                new Member(r.nextLong(), "n2", "b:2", Member.Role.JOINING)));
        byte[] body = new byte[r.nextInt(200)];
        r.nextBytes(body);
        long a = r.nextLong();
        long b = r.nextLong();
        return switch (r.nextInt(7)) {
            case 0 ->
                    new Message.VoteRequest(
                            a, b, r.nextLong(), a, b, r.nextBoolean(), r.nextBoolean());
            case 1 -> new Message.VoteResponse(a, b, 3, r.nextBoolean(), r.nextBoolean());
            case 2 ->
                    new Message.AppendRequest(
                            a,
                            b,
                            4,
                            5,
                            6,
                            7,
                            8,
                            r.nextLong(),
                            List.of(
                                    new Entry(1, 2, Entry.Kind.CHANGE, a, 4, body, null),
                                    new Entry(
                                            2,
                                            2,
                                            Entry.Kind.MEMBERSHIP,
                                            0,
                                            0,
                                            new byte[0],
                                            members)));
            case 3 ->
                    new Message.AppendResponse(
                            a, b, 1, r.nextBoolean(), 2, 3, 4, 5, 6, r.nextLong());
            case 4 ->
                    new Message.SnapshotChunk(
                            a, b, 1, 2, 3, members, 900, r.nextInt(), 5, body, 7, 8);
            case 5 -> new Message.SnapshotChunkResponse(a, b, 1, 2, 3, 4, 5, 6);
            default -> new Message.TimeoutNow(a, b, r.nextLong());
        };
    }

    @Property(tries = 300)
    void messagesComeBackAsTheyWent(@ForAll long seed) throws IOException {
        byte[] bytes = RaftCodec.message(any(seed));
        assertThat(RaftCodec.message(RaftCodec.message(bytes))).isEqualTo(bytes);
    }

    @Property(tries = 300)
    void spoiltMessagesAreRefusedOrOtherMessages(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 5_000) int at, @ForAll byte with)
            throws IOException {
        byte[] bytes = RaftCodec.message(any(seed));
        bytes[at % bytes.length] = with;
        try {
            assertThat(RaftCodec.message(bytes)).isNotNull();
        } catch (IOException refused) {
            assertThat(refused).hasMessageNotContaining("\n\tat");
        }
    }

    @Property(tries = 200)
    void framesComeWholeHoweverTheyWereCut(
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 0, max = 9_000) Integer> sizes,
            @ForAll @IntRange(min = 1, max = 7_000) int piece)
            throws IOException {
        java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
        for (int size : sizes) {
            all.writeBytes(Frames.frame(Frames.MESSAGE, new byte[size]));
        }
        Frames frames = new Frames();
        List<Integer> came = new ArrayList<>();
        byte[] bytes = all.toByteArray();
        for (int at = 0; at < bytes.length; at += piece) {
            frames.feed(ByteBuffer.wrap(bytes, at, Math.min(piece, bytes.length - at)));
            for (Frames.Frame frame = frames.next(); frame != null; frame = frames.next()) {
                came.add(frame.payload().length);
            }
        }
        assertThat(came).isEqualTo(sizes);
    }

    @Test
    void framesThatAreTooLongOrGarbledEndTheConnection() {
        Frames tooLong = new Frames();
        tooLong.feed(ByteBuffer.wrap(new byte[] {0x7f, 0, 0, 0, 0, 0, 0, 0, 0}));
        assertThatThrownBy(tooLong::next)
                .isInstanceOf(Frames.InvalidFrameException.class)
                .hasMessageContaining("a frame of");
        byte[] frame = Frames.frame(Frames.CALL, new byte[10]);
        frame[12] ^= 1;
        Frames garbled = new Frames();
        garbled.feed(ByteBuffer.wrap(frame));
        assertThatThrownBy(garbled::next).hasMessageContaining("checksum");
    }

    @Test
    void anotherVersionIsNamed() throws IOException {
        byte[] hello =
                RaftCodec.hello(new RaftCodec.Hello(9, 1, 1, "n1", new Membership(List.of())));
        assertThatThrownBy(() -> RaftCodec.hello(hello))
                .hasMessageContaining("version 9, this is 2");
    }
}
