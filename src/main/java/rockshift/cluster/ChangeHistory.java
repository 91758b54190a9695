package rockshift.cluster;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayDeque;
import rockshift.wire.Frames;

/**
 * The most recently applied changes, for the command that lists them. Used only by the member's
 * thread.
 */
final class ChangeHistory {
    private static final int MAX_CHANGES = 4_096;

    /** The maximum number of characters in a listing: half of the longest frame. */
    private static final int MAX_LISTED_CHARACTERS = Frames.MAX_FRAME_BYTES / 2;

    /** The changes with their outcomes, each as a JSON object. */
    private final ArrayDeque<String> changes = new ArrayDeque<>();

    /** The number of the oldest change that is kept; the first one applied has number 1. */
    private long firstNumber = 1;

    /** Adds a change and its outcome, both as JSON. */
    void add(long index, String change, String outcome) {
        changes.add(
                "{\"index\":" + index + ",\"change\":" + change + ",\"outcome\":" + outcome + "}");
        if (changes.size() > MAX_CHANGES) {
            changes.removeFirst();
            firstNumber++;
        }
    }

    /** Removes all changes, since a snapshot has replaced them. */
    void clear() {
        firstNumber += changes.size();
        changes.clear();
    }

    /** Writes the changes from a number on, as many as fit into one reply. */
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
