package rockshift.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The entries that a member holds, above a base that a snapshot stands for. It knows nothing of
 * what is durable.
 */
public final class Log {
    private final List<Entry> entries = new ArrayList<>();
    private long baseIndex;
    private long baseTerm;
    private long bytes;

    public Log(long baseIndex, long baseTerm) {
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
    }

    public long baseIndex() {
        return baseIndex;
    }

    public long lastIndex() {
        return baseIndex + entries.size();
    }

    public long lastTerm() {
        return term(lastIndex());
    }

    /** Bytes held in memory, roughly. */
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

    public Entry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    public void add(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalArgumentException("entry " + entry.index() + " after " + lastIndex());
        }
        entries.add(entry);
        bytes += entry.size();
    }

    /** Voids an entry and all after it. */
    public void truncateFrom(long from) {
        while (lastIndex() >= from) {
            bytes -= entries.remove(entries.size() - 1).size();
        }
    }

    /**
     * Entries from an index on, up to so many and so many bytes; one at least where there is any.
     */
    List<Entry> entriesFrom(long index, int most, long mostBytes) {
        int first = (int) (index - baseIndex - 1);
        int end = first;
        long size = 0;
        while (end < entries.size() && end - first < most) {
            size += entries.get(end).size();
            if (size > mostBytes && end > first) {
                break;
            }
            end++;
        }
        return List.copyOf(entries.subList(first, end));
    }

    /** Lets go of entries up to an index. */
    void compact(long upTo) {
        if (upTo > baseIndex) {
            baseTerm = term(upTo);
            List<Entry> old = entries.subList(0, (int) (upTo - baseIndex));
            bytes -= old.stream().mapToLong(Entry::size).sum();
            old.clear();
            baseIndex = upTo;
        }
    }

    /** Begins anew above a snapshot. */
    void reset(long index, long term) {
        entries.clear();
        bytes = 0;
        baseIndex = index;
        baseTerm = term;
    }
}
