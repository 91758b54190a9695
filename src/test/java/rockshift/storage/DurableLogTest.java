package rockshift.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;

/** Recovery of a folder after a crash, a full disk, damage, or a mix-up of files. */
class DurableLogTest {
    private static final String SEGMENT = "log-0000000000000000";
    private static final TermAndVote TERM_AND_VOTE = new TermAndVote(3, 77);

    @TempDir private Path folder;
    private final List<String> logLines = new ArrayList<>();

    private static Entry entry(long index, long term) {
        return new Entry(
                index, term, Entry.Kind.CHANGE, 5, index, ("change " + index).getBytes(), null);
    }

    private static Snapshot snapshot(long index, long term) {
        return new Snapshot(
                index,
                term,
                new Membership(List.of(new Member(1, "n1", "at", Member.Role.VOTER))),
                new byte[] {1, 2, 3});
    }

    private DurableLog.Recovered reopen() throws IOException {
        try (FileDisk disk = new FileDisk(folder)) {
            return new DurableLog(disk, logLines::add).open(42);
        }
    }

    private interface LogAction {
        void accept(DurableLog log) throws IOException;
    }

    private void withLog(LogAction action) throws IOException {
        try (FileDisk disk = new FileDisk(folder)) {
            DurableLog log = new DurableLog(disk, logLines::add);
            log.open(42);
            action.accept(log);
        }
    }

    private void saveThreeEntries() throws IOException {
        withLog(
                log -> {
                    log.save(TERM_AND_VOTE, List.of(entry(1, 1), entry(2, 1)), null);
                    log.save(TERM_AND_VOTE, List.of(entry(3, 3)), null);
                });
    }

    private void flipBit(String file, long at) throws IOException {
        byte[] bytes = Files.readAllBytes(folder.resolve(file));
        bytes[(int) at] ^= 1;
        Files.write(folder.resolve(file), bytes);
    }

    @Test
    void savedStateIsRecoveredAfterARestart() throws IOException {
        saveThreeEntries();
        DurableLog.Recovered recovered = reopen();
        assertThat(recovered.memberId()).isEqualTo(42);
        assertThat(recovered.termAndVote()).isEqualTo(TERM_AND_VOTE);
        assertThat(recovered.entries()).extracting(Entry::index).containsExactly(1L, 2L, 3L);
        assertThat(recovered.entries().get(2).body()).isEqualTo("change 3".getBytes());
    }

    @Test
    void laterEntriesReplaceThoseFromTheirIndexOn() throws IOException {
        saveThreeEntries();
        withLog(log -> log.save(TERM_AND_VOTE, List.of(entry(2, 4)), null));
        assertThat(reopen().entries()).extracting(Entry::term).containsExactly(1L, 4L);
    }

    /**
     * The machine loses power in the middle of a save, so any number of its bytes are on the disk.
     * The save was never acknowledged: it is truncated, and the next one takes its place.
     */
    @Test
    void tornTailIsTruncatedAtAnyLength() throws IOException {
        saveThreeEntries();
        byte[] beforeSave = Files.readAllBytes(folder.resolve(SEGMENT));
        withLog(log -> log.save(TERM_AND_VOTE, List.of(entry(4, 3)), null));
        byte[] afterSave = Files.readAllBytes(folder.resolve(SEGMENT));
        for (int end = beforeSave.length; end < afterSave.length; end++) {
            Files.write(folder.resolve(SEGMENT), Arrays.copyOf(afterSave, end));
            assertThat(reopen().entries()).extracting(Entry::index).containsExactly(1L, 2L, 3L);
        }
        withLog(log -> log.save(TERM_AND_VOTE, List.of(entry(4, 9)), null));
        assertThat(reopen().entries().get(3).term()).isEqualTo(9);
    }

    /**
     * A bit flips in a save that had been acknowledged. Truncating it like a torn tail would lose
     * an acknowledged entry, so the folder is rejected with the file and the offset.
     */
    @Test
    void damageBeforeTheTailIsRejectedWithFileAndOffset() throws IOException {
        saveThreeEntries();
        long size = Files.size(folder.resolve(SEGMENT));
        withLog(log -> log.save(TERM_AND_VOTE, List.of(entry(4, 3)), null));
        flipBit(SEGMENT, size - 3);
        assertThatThrownBy(this::reopen)
                .isInstanceOf(UnrecoverableStorageException.class)
                .isInstanceOfSatisfying(
                        CorruptRecordException.class,
                        corrupt -> assertThat(corrupt.file()).isEqualTo(SEGMENT))
                .hasMessageContaining(SEGMENT + ", byte ")
                .hasMessageContaining("although it was durable");
    }

    /**
     * A segment's header is damaged; then the identity file is missing, because it was deleted or
     * because the folder is not that of a member.
     */
    @Test
    void damagedHeaderAndForeignFolderAreRejected() throws IOException {
        saveThreeEntries();
        flipBit(SEGMENT, 9);
        assertThatThrownBy(this::reopen).hasMessageContaining(SEGMENT + ", byte 0: damaged header");
        Files.delete(folder.resolve("identity"));
        assertThatThrownBy(this::reopen).hasMessageContaining("found without an identity file");
    }

    /**
     * A member is started twice on one folder. Two processes that write to the same log would
     * destroy it.
     */
    @Test
    void folderInUseCannotBeOpened() throws IOException {
        try (FileDisk disk = new FileDisk(folder)) {
            assertThat(disk.list()).isEmpty();
            assertThatThrownBy(() -> new FileDisk(folder))
                    .isInstanceOf(FolderInUseException.class)
                    .hasMessageContaining("in use by another process");
        }
    }

    /**
     * The newest snapshot is damaged on disk. The previous one and the entries since lead to the
     * same state.
     */
    @Test
    void corruptSnapshotIsSetAsideAndThePreviousOneUsed() throws IOException {
        saveThreeEntries();
        withLog(
                log -> {
                    log.saveSnapshot(snapshot(1, 1));
                    log.saveSnapshot(snapshot(2, 1));
                });
        flipBit("snapshot-0000000000000002", 12);
        DurableLog.Recovered recovered = reopen();
        assertThat(recovered.snapshot().index()).isEqualTo(1);
        assertThat(recovered.entries()).extracting(Entry::index).containsExactly(2L, 3L);
        assertThat(folder.resolve("snapshot-0000000000000002.damaged")).exists();
        assertThat(logLines)
                .anyMatch(line -> line.contains("file=snapshot-0000000000000002 cause=\"damaged"));
    }

    /**
     * A snapshot from the leader is saved, and the member crashes before it writes the record that
     * discards the entries replaced by the snapshot.
     */
    @Test
    void installedSnapshotSavedBeforeACrashReplacesTheEntries() throws IOException {
        saveThreeEntries();
        withLog(log -> log.saveSnapshot(snapshot(8, 5)));
        assertThat(reopen().entries()).isEmpty();
        withLog(log -> log.save(TERM_AND_VOTE, List.of(entry(9, 5)), null));
        assertThat(reopen().entries()).extracting(Entry::index).containsExactly(9L);
    }

    /**
     * The file of a snapshot that replaced entries is missing: these entries are stored nowhere
     * else.
     */
    @Test
    void missingInstalledSnapshotIsRejected() throws IOException {
        saveThreeEntries();
        withLog(log -> log.save(TERM_AND_VOTE, List.of(), snapshot(8, 5)));
        Files.delete(folder.resolve("snapshot-0000000000000008"));
        assertThatThrownBy(this::reopen)
                .hasMessageContaining("snapshot-0000000000000008")
                .hasMessageContaining("missing or damaged");
    }

    @Test
    void obsoleteSegmentsAndSnapshotsAreDeleted() throws IOException {
        withLog(
                log -> {
                    long index = 1;
                    for (int i = 0; i < 400; i++) {
                        List<Entry> batch = new ArrayList<>();
                        for (int k = 0; k < 2; k++, index++) {
                            batch.add(
                                    new Entry(
                                            index,
                                            1,
                                            Entry.Kind.CHANGE,
                                            1,
                                            index,
                                            new byte[30_000],
                                            null));
                        }
                        log.save(new TermAndVote(1, 1), batch, null);
                    }
                    assertThat(log.segmentCount()).isGreaterThan(4);
                    log.saveSnapshot(snapshot(700, 1));
                    log.saveSnapshot(snapshot(790, 1));
                    log.saveSnapshot(snapshot(795, 1));
                    assertThat(log.segmentCount()).isLessThanOrEqualTo(2);
                });
        DurableLog.Recovered recovered = reopen();
        assertThat(recovered.snapshot().index()).isEqualTo(795);
        assertThat(recovered.entries())
                .extracting(Entry::index)
                .containsExactly(796L, 797L, 798L, 799L, 800L);
        assertThat(recovered.termAndVote()).isEqualTo(new TermAndVote(1, 1));
    }

    /**
     * Guards against a restart that forgets that there is a cluster, or the one that was joined.
     */
    @Test
    void knownClusterIsRecoveredUntilAnotherOneIsJoined() throws IOException {
        assertThat(reopen().knownClusterId()).isZero();
        withLog(log -> log.recordKnownCluster(7));
        assertThat(reopen().knownClusterId()).isEqualTo(7);
        withLog(log -> log.joinCluster(8, List.of()));
        assertThat(reopen().knownClusterId()).isEqualTo(8);
        assertThat(reopen().clusterId()).isEqualTo(8);
    }

    /** Guards against a damaged file that counts as no known cluster. */
    @Test
    void damagedKnownClusterIsRejected() throws IOException {
        withLog(log -> log.recordKnownCluster(7));
        flipBit("known-cluster", Files.size(folder.resolve("known-cluster")) - 1);
        assertThatThrownBy(this::reopen).isInstanceOf(CorruptRecordException.class);
    }

    /** A disk whose appends fail, or report success although they wrote half of the data. */
    private static final class FailingDisk implements Disk {
        private final Disk inner;
        private boolean isFull;
        private boolean writesShort;

        FailingDisk(Disk inner) {
            this.inner = inner;
        }

        @Override
        public List<String> list() throws IOException {
            return inner.list();
        }

        @Override
        public byte[] read(String name) throws IOException {
            return inner.read(name);
        }

        @Override
        public long append(String name, byte[] bytes) throws IOException {
            if (isFull || writesShort) {
                long size = inner.append(name, Arrays.copyOf(bytes, bytes.length / 2));
                if (isFull) {
                    throw new IOException("no space left");
                }
                return size;
            }
            return inner.append(name, bytes);
        }

        @Override
        public void sync(String name) throws IOException {
            inner.sync(name);
        }

        @Override
        public void truncate(String name, long size) throws IOException {
            inner.truncate(name, size);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            inner.rename(from, to);
        }

        @Override
        public void delete(String name) throws IOException {
            inner.delete(name);
        }
    }

    /**
     * The disk becomes full in the middle of a save, later it reports success for a save of which
     * it wrote half. Each save fails, is retried, and is stored once.
     */
    @Test
    void failedAndShortWritesLeaveTheLogIntact() throws IOException {
        try (FileDisk real = new FileDisk(folder)) {
            FailingDisk disk = new FailingDisk(real);
            DurableLog log = new DurableLog(disk, logLines::add);
            log.open(42);
            log.save(TERM_AND_VOTE, List.of(entry(1, 1)), null);
            disk.isFull = true;
            assertThatThrownBy(() -> log.save(TERM_AND_VOTE, List.of(entry(2, 1)), null))
                    .hasMessageContaining("no space");
            disk.isFull = false;
            disk.writesShort = true;
            assertThatThrownBy(() -> log.save(TERM_AND_VOTE, List.of(entry(2, 1)), null))
                    .isInstanceOf(ShortWriteException.class)
                    .hasMessageContaining("short write");
            disk.writesShort = false;
            log.save(TERM_AND_VOTE, List.of(entry(2, 1)), null);
        }
        assertThat(reopen().entries()).extracting(Entry::index).containsExactly(1L, 2L);
    }
}
