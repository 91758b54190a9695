package rockshift.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Message;

/** Messages and frames are decoded as they were encoded; any other input is a typed error. */
class MessageCodecTest {
    private static List<Entry> entries(long session, byte[] body, Membership members) {
        return List.of(
                new Entry(1, 2, Entry.Kind.CHANGE, session, 4, body, null),
                new Entry(2, 2, Entry.Kind.MEMBERSHIP, 0, 0, new byte[0], members));
    }

    private static Membership randomMembers(SplittableRandom random) {
        return new Membership(
                List.of(
                        new Member(random.nextLong(), "n1", "a:1", Member.Role.VOTER),
                        new Member(random.nextLong(), "n2", "b:2", Member.Role.JOINING)));
    }

    private static Message randomMessage(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Membership members = randomMembers(random);
        byte[] body = new byte[random.nextInt(200)];
        random.nextBytes(body);
        long first = random.nextLong();
        long second = random.nextLong();
        return switch (random.nextInt(7)) {
            case 0 ->
                    new Message.VoteRequest(
                            first,
                            second,
                            random.nextLong(),
                            first,
                            second,
                            random.nextBoolean(),
                            random.nextBoolean());
            case 1 ->
                    new Message.VoteResponse(
                            first, second, 3, random.nextBoolean(), random.nextBoolean());
            case 2 ->
                    new Message.AppendRequest(
                            first,
                            second,
                            4,
                            5,
                            6,
                            7,
                            8,
                            random.nextLong(),
                            entries(first, body, members));
            case 3 ->
                    new Message.AppendResponse(
                            first,
                            second,
                            1,
                            random.nextBoolean(),
                            2,
                            3,
                            4,
                            5,
                            6,
                            random.nextLong());
            case 4 ->
                    new Message.SnapshotChunk(
                            first, second, 1, 2, 3, members, 900, random.nextInt(), 5, body, 7, 8);
            case 5 -> new Message.SnapshotChunkResponse(first, second, 1, 2, 3, 4, 5, 6);
            default -> new Message.TimeoutNow(first, second, random.nextLong());
        };
    }

    private static final Membership TWO_MEMBERS =
            new Membership(
                    List.of(
                            new Member(-5, "n1", "a:1", Member.Role.VOTER),
                            new Member(7, "n2", "b:2", Member.Role.JOINING)));

    /** A message of each kind, and the bytes that revision 218e7c9 sent for it. */
    static Stream<Arguments> messagesOfAnEarlierRevision() {
        byte[] body = {1, 2, 3};
        return Stream.of(
                Arguments.of(
                        new Message.VoteRequest(1, 2, 3, 4, 5, true, false),
                        "9f000102030405f5f4ff"),
                Arguments.of(new Message.VoteResponse(1, 2, 3, true, false), "9f01010203f5f4ff"),
                Arguments.of(
                        new Message.AppendRequest(
                                1, 2, 3, 4, 5, 6, 7, -8, entries(3, body, TWO_MEMBERS)),
                        "9f020102030405060727020102020304430102039fff0202030000409f24"
                                + "626e3163613a310007626e3263623a3202ffff"),
                Arguments.of(
                        new Message.AppendResponse(1, 2, 3, true, 4, 5, 6, 7, 8, 9),
                        "9f03010203f5040506070809ff"),
                Arguments.of(
                        new Message.SnapshotChunk(
                                1, 2, 3, 4, 5, TWO_MEMBERS, 900, -6, 5, body, 7, 8),
                        "9f0401020304059f24626e3163613a310007626e3263623a3202ff190384"
                                + "2505430102030708ff"),
                Arguments.of(
                        new Message.SnapshotChunkResponse(1, 2, 3, 4, 5, 6, 7, 8),
                        "9f050102030405060708ff"),
                Arguments.of(new Message.TimeoutNow(1, 2, 3), "9f06010203ff"));
    }

    /**
     * Members are upgraded one at a time: members of two revisions must be able to exchange
     * messages.
     */
    @ParameterizedTest
    @MethodSource("messagesOfAnEarlierRevision")
    void messagesHaveTheBytesOfAnEarlierRevision(Message message, String bytes) throws IOException {
        assertThat(HexFormat.of().formatHex(MessageCodec.encode(message))).isEqualTo(bytes);
        byte[] received = HexFormat.of().parseHex(bytes);
        assertThat(MessageCodec.encode(MessageCodec.decode(received))).isEqualTo(received);
    }

    @Property(tries = 300)
    void messagesSurviveEncodingAndDecoding(@ForAll long seed) throws IOException {
        byte[] bytes = MessageCodec.encode(randomMessage(seed));
        assertThat(MessageCodec.encode(MessageCodec.decode(bytes))).isEqualTo(bytes);
    }

    @Property(tries = 300)
    void damagedMessagesAreRejectedOrDecodedAsOtherMessages(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 5_000) int position,
            @ForAll byte value)
            throws IOException {
        byte[] bytes = MessageCodec.encode(randomMessage(seed));
        bytes[position % bytes.length] = value;
        try {
            assertThat(MessageCodec.decode(bytes)).isNotNull();
        } catch (IOException rejected) {
            assertThat(rejected).hasMessageNotContaining("\n\tat");
        }
    }

    @Property(tries = 200)
    void framesAreReassembledHoweverTheyWereSplit(
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 0, max = 9_000) Integer> sizes,
            @ForAll @IntRange(min = 1, max = 7_000) int chunkSize)
            throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int size : sizes) {
            all.writeBytes(Frames.frame(Frames.MESSAGE, new byte[size]));
        }
        Frames frames = new Frames();
        List<Integer> received = new ArrayList<>();
        byte[] bytes = all.toByteArray();
        for (int at = 0; at < bytes.length; at += chunkSize) {
            frames.feed(ByteBuffer.wrap(bytes, at, Math.min(chunkSize, bytes.length - at)));
            for (Frames.Frame frame = frames.next(); frame != null; frame = frames.next()) {
                received.add(frame.payload().length);
            }
        }
        assertThat(received).isEqualTo(sizes);
    }

    @Test
    void tooLongAndCorruptFramesAreInvalid() {
        Frames tooLong = new Frames();
        tooLong.feed(ByteBuffer.wrap(new byte[] {0x7f, 0, 0, 0, 0, 0, 0, 0, 0}));
        assertThatThrownBy(tooLong::next)
                .isInstanceOf(Frames.InvalidFrameException.class)
                .hasMessageContaining("a frame of");
        byte[] frame = Frames.frame(Frames.CALL, new byte[10]);
        frame[12] ^= 1;
        Frames corrupt = new Frames();
        corrupt.feed(ByteBuffer.wrap(frame));
        assertThatThrownBy(corrupt::next).hasMessageContaining("checksum");
    }

    @Test
    void helloOfAnotherVersionIsRejectedWithBothVersions() throws IOException {
        byte[] hello = new Hello(9, 1, 1, "n1", new Membership(List.of())).encode();
        assertThatThrownBy(() -> Hello.decode(hello))
                .hasMessageContaining("expected protocol version 2, got version 9");
    }
}
