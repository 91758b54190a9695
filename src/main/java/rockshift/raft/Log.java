package rockshift.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The log entries that a member holds in memory, above a base index up to which a snapshot replaces
 * them. Does not know which entries are durable or committed.
 */
public final class Log {
    private final List<Entry> entries = new ArrayList<>();
    private long baseIndex;
    private long baseTerm;
    private long bytes;

    /** Creates an empty log that starts after the last entry of a snapshot. */
    public Log(long baseIndex, long baseTerm) {
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
    }

    /**
     * Returns the last index that is no longer in memory. A snapshot includes the entries up to it.
     */
    public long baseIndex() {
        return baseIndex;
    }

    /** Returns the index of the last entry, or the base index if there is none. */
    public long lastIndex() {
        return baseIndex + entries.size();
    }

    /** Returns the term of the last entry. */
    public long lastTerm() {
        return term(lastIndex());
    }

    /** Returns the approximate size of all entries in memory, in bytes. */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns the term of the entry at an index, or -1 if there is no such entry or it was
     * compacted.
     */
    public long term(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return index < baseIndex || index > lastIndex() ? -1 : get(index).term();
    }

    /** Returns the entry at an index, which must be in memory. */
    public Entry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /**
     * Appends an entry.
     *
     * @throws IllegalArgumentException if it does not follow the last entry
     */
    public void add(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalArgumentException(
                    "expected entry " + (lastIndex() + 1) + ", got entry " + entry.index());
        }
        entries.add(entry);
        bytes += entry.size();
    }

    /** Removes the entry at an index and all entries after it. */
    public void truncateFrom(long from) {
        while (lastIndex() >= from) {
            bytes -= entries.remove(entries.size() - 1).size();
        }
    }

    /**
     * Returns entries starting at an index, within both limits, but at least one if there is any.
     */
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

    /** Drops the entries up to an index. */
    void compact(long upTo) {
        if (upTo > baseIndex) {
            baseTerm = term(upTo);
            List<Entry> dropped = entries.subList(0, (int) (upTo - baseIndex));
            bytes -= dropped.stream().mapToLong(Entry::size).sum();
            dropped.clear();
            baseIndex = upTo;
        }
    }

    /** Drops all entries and starts again after a snapshot. */
    void reset(long index, long term) {
        entries.clear();
        bytes = 0;
        baseIndex = index;
        baseTerm = term;
    }
}
