package rockshift.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The entries that a member holds in memory, above a base index up to which a snapshot replaces
 * them. It knows nothing of what is durable or committed.
 */
public final class Log {
    private final List<Entry> entries = new ArrayList<>();
    private long baseIndex;
    private long baseTerm;
    private long bytes;

    /** An empty log above the last entry that a snapshot includes. */
    public Log(long baseIndex, long baseTerm) {
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
    }

    /** The last index that is no longer in memory; a snapshot includes the entries up to it. */
    public long baseIndex() {
        return baseIndex;
    }

    /** The index of the last entry, the base index if there is none. */
    public long lastIndex() {
        return baseIndex + entries.size();
    }

    /** The term of the last entry. */
    public long lastTerm() {
        return term(lastIndex());
    }

    /** Bytes of all entries in memory, roughly. */
    public long bytes() {
        return bytes;
    }

    /** The term of an entry; -1 where there is none, or none any more. */
    public long term(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return index < baseIndex || index > lastIndex() ? -1 : get(index).term();
    }

    /** The entry at an index, which must be in memory. */
    public Entry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Appends an entry, which must follow the last one. */
    public void add(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalArgumentException("entry " + entry.index() + " after " + lastIndex());
        }
        entries.add(entry);
        bytes += entry.size();
    }

    /** Removes an entry and all after it. */
    public void truncateFrom(long from) {
        while (lastIndex() >= from) {
            bytes -= entries.remove(entries.size() - 1).size();
        }
    }

    /** Entries from an index on, within limits; at least one if there is any. */
    List<Entry> entriesFrom(long index, int maxEntries, long maxBytes) {
        int first = (int) (index - baseIndex - 1);
        int end = first;
        long size = 0;
        while (end < entries.size() && end - first < maxEntries) {
            size += entries.get(end).size();
            if (size > maxBytes && end > first) {
                break;
            }
            end++;
        }
        return List.copyOf(entries.subList(first, end));
    }

    /** Drops entries up to an index. */
    void compact(long upTo) {
        if (upTo > baseIndex) {
            baseTerm = term(upTo);
            List<Entry> dropped = entries.subList(0, (int) (upTo - baseIndex));
            bytes -= dropped.stream().mapToLong(Entry::size).sum();
            dropped.clear();
            baseIndex = upTo;
        }
    }

    /** Drops all entries and starts again above a snapshot. */
    void reset(long index, long term) {
        entries.clear();
        bytes = 0;
        baseIndex = index;
        baseTerm = term;
    }
}
