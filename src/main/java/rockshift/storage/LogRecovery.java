package rockshift.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rockshift.raft.Entry;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;

/**
 * Rebuilds term, vote and entries from the records of all segments, in the order in which they were
 * written.
 */
final class LogRecovery {
    private final List<Entry> entries = new ArrayList<>();
    private TermAndVote termAndVote = TermAndVote.NONE;
    private long installedSnapshotIndex;

    TermAndVote termAndVote() {
        return termAndVote;
    }

    List<Entry> entries() {
        return entries;
    }

    /**
     * Returns the index up to which a snapshot from the leader replaced entries, 0 if none did.
     * That snapshot must exist.
     */
    long installedSnapshotIndex() {
        return installedSnapshotIndex;
    }

    /**
     * Applies a record.
     *
     * @return the highest log index in the record, 0 if it has none
     */
    long replay(String file, StoredRecord record) throws IOException {
        RecordKind kind = RecordKind.of(record.kindCode());
        if (kind == null || kind == RecordKind.IDENTITY || kind == RecordKind.SNAPSHOT) {
            throw new CorruptRecordException(
                    file, record.offset(), "unexpected record kind " + record.kindCode());
        }
        try {
            return replay(file, record, kind);
        } catch (CorruptRecordException corrupt) {
            throw corrupt;
        } catch (IOException undecodable) {
            throw new CorruptRecordException(file, record.offset(), undecodable);
        }
    }

    private long replay(String file, StoredRecord record, RecordKind kind) throws IOException {
        switch (kind) {
            case TERM_AND_VOTE -> {
                long[] numbers = record.numbers(2);
                termAndVote = new TermAndVote(numbers[0], numbers[1]);
                return 0;
            }
            case ENTRY -> {
                Entry entry = record.entry();
                add(file, record.offset(), entry);
                return entry.index();
            }
            case SNAPSHOT_INSTALLED -> {
                entries.clear();
                installedSnapshotIndex = record.numbers(2)[0];
                return installedSnapshotIndex;
            }
            default -> {
                return 0;
            }
        }
    }

    private void add(String file, int offset, Entry entry) throws CorruptRecordException {
        if (!entries.isEmpty()) {
            long first = entries.get(0).index();
            long last = entries.get(entries.size() - 1).index();
            if (entry.index() > last + 1) {
                throw new CorruptRecordException(
                        file,
                        offset,
                        "expected entry " + (last + 1) + " or lower, found " + entry.index());
            }
            int kept = (int) Math.max(0, entry.index() - first);
            entries.subList(kept, entries.size()).clear();
        }
        entries.add(entry);
    }

    /**
     * Returns whether the entries continue from a snapshot, or include its last entry with the same
     * term.
     */
    boolean isConsistentWith(Snapshot snapshot) {
        long position = snapshot.index() - entries.get(0).index();
        return position < 0
                || position < entries.size()
                        && entries.get((int) position).term() == snapshot.term();
    }
}
