package rockshift.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rockshift.raft.Checksum;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.TermAndVote;

/**
 * A folder written by an earlier revision is recovered with the same state. The README in
 * src/test/resources/rockshift/storage/member-folder-218e7c9 describes how it was created.
 */
class StoredFolderTest {
    private static final String SEGMENT = "log-0000000000000000";
    private static final String SNAPSHOT = "snapshot-000000000000000c";
    private static final long MEMBER_1 = 1070363218273847039L;
    private static final long MEMBER_2 = 463390416029317991L;
    private static final long MEMBER_3 = 614669087162800519L;
    private static final long CLUSTER = 5290578308751901007L;

    @TempDir private Path folder;
    private final List<String> logLines = new ArrayList<>();

    @BeforeEach
    void copyFolder() throws IOException, URISyntaxException {
        Path stored = Path.of(StoredFolderTest.class.getResource("member-folder-218e7c9").toURI());
        try (Stream<Path> files = Files.list(stored)) {
            for (Path file : files.filter(file -> !file.endsWith("README.md")).toList()) {
                Files.copy(file, folder.resolve(file.getFileName()));
            }
        }
    }

    private DurableLog.Recovered open() throws IOException {
        try (FileDisk disk = new FileDisk(folder)) {
            return new DurableLog(disk, logLines::add).open(42);
        }
    }

    private static Member voter(long id, int number) {
        return new Member(id, "n" + number, "127.0.0.1:1710" + number, Member.Role.VOTER);
    }

    /** A member is upgraded: the new revision starts on the folder of the old one. */
    @Test
    void folderOfAnEarlierRevisionIsRecovered() throws IOException {
        DurableLog.Recovered recovered = open();
        assertThat(recovered.memberId()).isEqualTo(MEMBER_1);
        assertThat(recovered.clusterId()).isEqualTo(CLUSTER);
        assertThat(recovered.termAndVote()).isEqualTo(new TermAndVote(2, MEMBER_2));
        assertThat(recovered.snapshot().index()).isEqualTo(12);
        assertThat(recovered.snapshot().term()).isEqualTo(1);
        assertThat(recovered.snapshot().membership().all())
                .containsExactly(voter(MEMBER_2, 2), voter(MEMBER_3, 3), voter(MEMBER_1, 1));
        assertThat(recovered.snapshot().data()).hasSize(325);
        assertThat(Checksum.of(recovered.snapshot().data())).isEqualTo(-1_130_794_510);
        assertThat(recovered.entries())
                .usingRecursiveFieldByFieldElementComparator()
                .containsExactly(
                        openSession(13, 1, 7499701550191199019L),
                        change(
                                14,
                                1,
                                7499701550191199019L,
                                "{\"change\":\"term\",\"subject\":\"price.orders\","
                                        + "\"value\":0.25}"),
                        new Entry(15, 2, Entry.Kind.NO_OP, 0, 0, new byte[0], null),
                        openSession(16, 2, 8227245017669492825L),
                        change(
                                17,
                                2,
                                8227245017669492825L,
                                "{\"change\":\"budget\",\"subject\":\"crossing\","
                                        + "\"value\":0.4}"));
        assertThat(logLines).isEmpty();
    }

    private static Entry openSession(long index, long term, long session) {
        return new Entry(index, term, Entry.Kind.OPEN_SESSION, session, 0, new byte[0], null);
    }

    private static Entry change(long index, long term, long session, String json) {
        return new Entry(index, term, Entry.Kind.CHANGE, session, 1, json.getBytes(), null);
    }

    /**
     * A member is downgraded: opening a folder must not change it, so that the old revision can
     * start on it again.
     */
    @Test
    void openingDoesNotChangeTheFiles() throws IOException {
        byte[] segment = Files.readAllBytes(folder.resolve(SEGMENT));
        byte[] snapshot = Files.readAllBytes(folder.resolve(SNAPSHOT));
        byte[] identity = Files.readAllBytes(folder.resolve("identity"));
        open();
        assertThat(folder.resolve(SEGMENT)).hasBinaryContent(segment);
        assertThat(folder.resolve(SNAPSHOT)).hasBinaryContent(snapshot);
        assertThat(folder.resolve("identity")).hasBinaryContent(identity);
    }

    /**
     * The machine loses power in the middle of the old revision's last save, and the new revision
     * starts on the folder: the torn entry is truncated, and all entries before it are recovered.
     */
    @Test
    void tornTailOfAnEarlierRevisionIsTruncated() throws IOException {
        byte[] segment = Files.readAllBytes(folder.resolve(SEGMENT));
        for (int lost = 1; lost <= 40; lost++) {
            logLines.clear();
            Files.write(folder.resolve(SEGMENT), Arrays.copyOf(segment, segment.length - lost));
            DurableLog.Recovered recovered = open();
            assertThat(recovered.termAndVote()).isEqualTo(new TermAndVote(2, MEMBER_2));
            assertThat(recovered.snapshot().index()).isEqualTo(12);
            assertThat(recovered.entries())
                    .extracting(Entry::index)
                    .containsExactly(13L, 14L, 15L, 16L);
            assertThat(logLines).hasSize(1);
            assertThat(logLines.get(0))
                    .startsWith("truncating the torn tail of an unfinished save file=" + SEGMENT)
                    .contains("bytes=");
        }
    }

    /**
     * The new revision saves to the folder of the old one: the next start recovers the old entries
     * and the new one.
     */
    @Test
    void newSavesContinueAFolderOfAnEarlierRevision() throws IOException {
        try (FileDisk disk = new FileDisk(folder)) {
            DurableLog log = new DurableLog(disk, logLines::add);
            log.open(42);
            log.save(new TermAndVote(3, MEMBER_1), List.of(change(18, 3, 5, "{}")), null);
        }
        DurableLog.Recovered recovered = open();
        assertThat(recovered.termAndVote()).isEqualTo(new TermAndVote(3, MEMBER_1));
        assertThat(recovered.entries())
                .extracting(Entry::index)
                .containsExactly(13L, 14L, 15L, 16L, 17L, 18L);
    }
}
