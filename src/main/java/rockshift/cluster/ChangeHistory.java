package rockshift.cluster;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayDeque;
import rockshift.wire.Frames;

/**
 * The changes that were applied last, for the command that lists them. Used by the member's thread
 * alone.
 */
final class ChangeHistory {
    private static final int MAX_CHANGES = 4_096;

    /** Characters of a listing: half of the longest frame. */
    private static final int MAX_LISTED_CHARACTERS = Frames.MAX_FRAME_BYTES / 2;

    /** Each as JSON. */
    private final ArrayDeque<String> changes = new ArrayDeque<>();

    /** The number of the oldest change that is kept; the first one applied has number 1. */
    private long firstNumber = 1;

    /** Notes a change and its outcome, both as JSON. */
    void add(long index, String change, String outcome) {
        changes.add(
                "{\"index\":" + index + ",\"change\":" + change + ",\"outcome\":" + outcome + "}");
        if (changes.size() > MAX_CHANGES) {
            changes.removeFirst();
            firstNumber++;
        }
    }

    /** Forgets all, as a snapshot has taken the place of single changes. */
    void clear() {
        firstNumber += changes.size();
        changes.clear();
    }

    /** Lists the changes from a number on, as far as they fit into an answer. */
    void write(JsonGenerator json, long from) throws IOException {
        json.writeNumberField("from", Math.max(from, firstNumber));
        json.writeNumberField("next", firstNumber + changes.size());
        json.writeArrayFieldStart("changes");
        long skip = Math.max(0, from - firstNumber);
        int characters = 0;
        for (String change : changes) {
            if (skip > 0) {
                skip--;
                continue;
            }
            characters += change.length();
            if (characters < MAX_LISTED_CHARACTERS) {
                json.writeRawValue(change);
            }
        }
        json.writeEndArray();
    }
}
