package rockshift.server;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * The codec of proxy and collector connections: RESP2 arrays of bulk strings, read from bytes that
 * arrive in pieces, and the words of the protocol in them. A message is its kind, then names
 * alternating with values.
 *
 * <p>One codec belongs to one connection and one thread. Between calls it holds the bytes of a
 * partial message, of at most {@link #MAX_MESSAGE_BYTES}. The current message is read in place:
 * some hundred load reports arrive a second, and most of their fields are read once.
 */
public final class RespCodec {
    /** The longest message that the protocol allows. */
    static final int MAX_MESSAGE_BYTES = 1 << 20;

    /** Bytes kept for each connection while it is quiet; most messages fit. */
    static final int INITIAL_BUFFER_BYTES = 1 << 11;

    /** Length of the array of bounds while a connection is quiet: that of 32 strings. */
    private static final int INITIAL_BOUNDS = 64;

    /** The largest number that is accepted: no rate, time in ms or count comes near. */
    private static final double MAX_NUMBER = 1e9;

    /** Digits of the longest count or length that a message could hold. */
    private static final int MAX_LENGTH_DIGITS = 7;

    /** In place of a count or length that is not there yet. */
    private static final int UNKNOWN = -1;

    // Kinds of messages.
    static final String PING = "ping";
    static final String PONG = "pong";
    static final String COLLECTOR = "collector";
    static final String JOINED = "joined";
    static final String LOAD_REPORT = "heard";
    static final String USAGE = "usage";
    static final String APPLIED = "applied";
    static final String UPDATE = "update";
    // Fields of messages to the controller.
    static final String PROXY = "sidecar";
    static final String ZONE = "az";
    static final String REQUEST_RATE = "share";
    static final String REPLICA = "host";
    static final String COUNT = "n";
    static final String FAILED = "bad";
    static final String MEAN_TIME = "avg";
    static final String WINDOW = "window";
    static final String LOAD = "report";
    static final String UTILIZATION = "util";
    static final String CLASS = "kind";
    static final String SERIAL = "version";
    static final String APPLY_DELAY = "lag_ms";
    // Fields of messages to proxies.
    static final String CLASSES = "classes";
    static final String WHOLE_TABLE = "whole";
    static final String ENTRIES = "lines";
    static final String ADMISSION_LEVEL = "level";
    static final String RETRY_MODE = "retry";
    static final String EXCLUDED = "out";
    static final String READMITTED = "back";
    static final String ACKNOWLEDGE = "ticket";
    static final String MORE_PARTS = "more";

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int end;

    /** Where the current message begins in the buffer, and up to where it is parsed. */
    private int messageStart;

    private int position;

    /** Strings of the current message, and the length of the next one, or {@link #UNKNOWN}. */
    private int stringCount = UNKNOWN;

    private int nextLength = UNKNOWN;

    /** Start and end in the buffer of each string that is parsed. */
    private int[] bounds = new int[INITIAL_BOUNDS];

    private int parsedStrings;

    /** Adds bytes that were received. */
    public void feed(ByteBuffer received) {
        int count = received.remaining();
        if (messageStart > 0 && end + count > buffer.length) {
            compact();
        }
        if (end + count > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, end + count));
        }
        received.get(buffer, end, count);
        end += count;
    }

    private void compact() {
        System.arraycopy(buffer, messageStart, buffer, 0, end - messageStart);
        for (int i = 0; i < 2 * parsedStrings; i++) {
            bounds[i] -= messageStart;
        }
        position -= messageStart;
        end -= messageStart;
        messageStart = 0;
    }

    /** Bytes held beyond what every quiet connection holds. */
    int excessBytes() {
        return buffer.length
                - INITIAL_BUFFER_BYTES
                + Integer.BYTES * (bounds.length - INITIAL_BOUNDS);
    }

    /**
     * Moves on to the next message.
     *
     * @return whether it is there whole; its strings are valid until the next call
     */
    public boolean next() throws MalformedStreamException {
        releaseCurrentMessage();
        if (stringCount == UNKNOWN) {
            stringCount = parseLength('*');
            if (stringCount == 0) {
                throw malformed("a message without a kind");
            }
        }
        while (stringCount > 0 && parsedStrings < stringCount && parseString()) {
            continue;
        }
        boolean complete = stringCount > 0 && parsedStrings == stringCount;
        int partialBytes = end - messageStart;
        if (!complete && partialBytes > MAX_MESSAGE_BYTES
                || position - messageStart > MAX_MESSAGE_BYTES) {
            throw tooLong("a message of over " + MAX_MESSAGE_BYTES + " bytes");
        }
        return complete;
    }

    /** Forgets a message that was complete, and gives back memory that only it needed. */
    private void releaseCurrentMessage() {
        if (stringCount >= 0 && parsedStrings == stringCount) {
            messageStart = position;
            parsedStrings = 0;
            stringCount = UNKNOWN;
        }
        if (messageStart == end && messageStart > 0) {
            messageStart = 0;
            end = 0;
            position = 0;
            if (buffer.length > INITIAL_BUFFER_BYTES) {
                buffer = new byte[INITIAL_BUFFER_BYTES];
            }
            if (bounds.length > INITIAL_BOUNDS) {
                bounds = new int[INITIAL_BOUNDS];
            }
        }
    }

    private boolean parseString() throws MalformedStreamException {
        if (nextLength == UNKNOWN) {
            nextLength = parseLength('$');
            if (nextLength > MAX_MESSAGE_BYTES) {
                throw tooLong("a string of " + nextLength + " bytes");
            }
        }
        if (nextLength == UNKNOWN || end - position < nextLength + 2) {
            return false;
        }
        int stringEnd = position + nextLength;
        if (buffer[stringEnd] != '\r' || buffer[stringEnd + 1] != '\n') {
            throw malformed("a string that ends where its length says");
        }
        if (2 * parsedStrings + 2 > bounds.length) {
            bounds = Arrays.copyOf(bounds, 2 * bounds.length);
        }
        bounds[2 * parsedStrings] = position;
        bounds[2 * parsedStrings + 1] = stringEnd;
        parsedStrings++;
        position = stringEnd + 2;
        nextLength = UNKNOWN;
        return true;
    }

    /** Parses a count or length after its prefix; {@link #UNKNOWN} while it is not all there. */
    private int parseLength(char prefix) throws MalformedStreamException {
        if (position == end) {
            return UNKNOWN;
        }
        if (buffer[position] != prefix) {
            throw malformed("an array of bulk strings");
        }
        int firstDigit = position + 1;
        int next = firstDigit;
        int value = 0;
        while (next < end && next < firstDigit + MAX_LENGTH_DIGITS && isDigit(buffer[next])) {
            value = value * 10 + buffer[next] - '0';
            next++;
        }
        if (next == end) {
            return UNKNOWN;
        }
        if (buffer[next] != '\r' || next == firstDigit) {
            throw malformed("a count or length");
        }
        if (next + 1 == end) {
            return UNKNOWN;
        }
        if (buffer[next + 1] != '\n') {
            throw malformed("a count or length and an end of line");
        }
        position = next + 2;
        return value;
    }

    private static boolean isDigit(byte character) {
        return character >= '0' && character <= '9';
    }

    private static MalformedStreamException malformed(String expected) {
        return new MalformedStreamException(CloseReason.MALFORMED, "expected " + expected);
    }

    private static MalformedStreamException tooLong(String found) {
        return new MalformedStreamException(CloseReason.TOO_LONG, found);
    }

    private static InvalidMessageException badField(String detail) {
        return new InvalidMessageException(CloseReason.BAD_FIELD, detail);
    }

    private String string(int index) {
        int start = bounds[2 * index];
        return new String(buffer, start, bounds[2 * index + 1] - start, StandardCharsets.UTF_8);
    }

    /** The kind of the current message. */
    public String kind() {
        return string(0);
    }

    /** Refuses a message in which a name has no value. */
    void requireFieldPairs() throws InvalidMessageException {
        if (stringCount % 2 == 0) {
            throw badField(kind() + " with a name that has no value");
        }
    }

    /** A field's value, or null where the message does not have the field. */
    private String find(String name) {
        for (int i = 1; i + 1 < stringCount; i += 2) {
            if (equalsString(i, name)) {
                return string(i + 1);
            }
        }
        return null;
    }

    /** Compares in place, since a message may have very many names. */
    private boolean equalsString(int index, String name) {
        int start = bounds[2 * index];
        boolean same = bounds[2 * index + 1] - start == name.length();
        for (int i = 0; same && i < name.length(); i++) {
            same = buffer[start + i] == name.charAt(i);
        }
        return same;
    }

    /** Whether the current message has a field. */
    public boolean has(String name) {
        return find(name) != null;
    }

    /** A field's value in the current message. */
    public String text(String name) throws InvalidMessageException {
        String value = find(name);
        if (value == null) {
            throw badField(kind() + " without " + name);
        }
        return value;
    }

    /** A field's value as a number between 0 and {@link #MAX_NUMBER}. */
    double number(String name) throws InvalidMessageException {
        return parseNumber(name, text(name));
    }

    /** A field's value as a whole number. */
    int wholeNumber(String name) throws InvalidMessageException {
        double value = number(name);
        if (value != (int) value) {
            throw badField(name + " as a whole number, not " + value);
        }
        return (int) value;
    }

    /**
     * The number that a key has in a field's list of {@code key:value} pairs, or null where the
     * message does not have the field or the list not the key.
     */
    Double pairedNumber(String name, String key) throws InvalidMessageException {
        String list = find(name);
        if (list == null) {
            return null;
        }
        for (String pair : list.split(",")) {
            if (pair.startsWith(key + ":")) {
                return parseNumber(key, pair.substring(key.length() + 1));
            }
        }
        return null;
    }

    private static double parseNumber(String name, String text) throws InvalidMessageException {
        try {
            double value = Double.parseDouble(text);
            if (value >= 0 && value <= MAX_NUMBER) {
                return value;
            }
        } catch (NumberFormatException notANumber) {
            // Reported below, like a number out of range.
        }
        throw badField(name + " as a number, not '" + text + "'");
    }

    /** The bytes of one message. */
    public static byte[] message(List<String> strings) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(arrayHeader(strings.size()));
        bytes.writeBytes(bulkStrings(strings));
        return bytes.toByteArray();
    }

    /** The bytes that begin a message of so many strings. */
    static byte[] arrayHeader(int stringCount) {
        return ascii("*" + stringCount + "\r\n");
    }

    /** The bytes of strings within a message. */
    static byte[] bulkStrings(List<String> strings) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (String string : strings) {
            byte[] text = string.getBytes(StandardCharsets.UTF_8);
            bytes.writeBytes(ascii("$" + text.length + "\r\n"));
            bytes.writeBytes(text);
            bytes.writeBytes(ascii("\r\n"));
        }
        return bytes.toByteArray();
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
