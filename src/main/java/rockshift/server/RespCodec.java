package rockshift.server;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import rockshift.net.PeerMemory;

/**
 * The codec of proxy and collector connections. It reads RESP2 arrays of bulk strings from bytes
 * that arrive in chunks, and defines the names of the protocol. A message consists of its kind,
 * then alternating field names and values.
 *
 * <p>A codec belongs to one connection and is used by one thread. Between calls it holds the bytes
 * of a partial message, at most {@link #MAX_MESSAGE_BYTES}. The current message is read in place,
 * because some hundred load reports arrive per second and most of their fields are read once.
 */
public final class RespCodec {
    /** The longest message that the protocol allows. */
    static final int MAX_MESSAGE_BYTES = 1 << 20;

    /** Initial size of the buffer; most messages fit. */
    static final int INITIAL_BUFFER_BYTES = 1 << 11;

    /** Initial length of the array of bounds, for 32 strings. */
    private static final int INITIAL_BOUNDS = 64;

    /** The largest number that is accepted, far above any real rate, time in ms or count. */
    private static final double MAX_NUMBER = 1e9;

    /** Digits of the largest count or length that a message can contain. */
    private static final int MAX_LENGTH_DIGITS = 7;

    /** Stands for a count or length that has not been received yet. */
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
    static final String STANDING = "standing";
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

    private static final String NO = "0";

    /** Charged for the buffers beyond their initial size; null for none. */
    private final PeerMemory.Account account;

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int end;

    /** Start of the current message in the buffer, and the position up to which it is parsed. */
    private int messageStart;

    private int position;

    /**
     * Number of strings in the current message, and length of the next one, or {@link #UNKNOWN}.
     */
    private int stringCount = UNKNOWN;

    private int nextLength = UNKNOWN;

    /** Start and end of each parsed string in the buffer. */
    private int[] bounds = new int[INITIAL_BOUNDS];

    private int parsedStrings;

    /** Creates a codec whose memory is not limited, for peers that are trusted. */
    public RespCodec() {
        this(null);
    }

    /** Creates a codec that charges its buffers to the account of a connection. */
    RespCodec(PeerMemory.Account account) {
        this.account = account;
    }

    /** Charges a buffer that replaces another one, before it is allocated. */
    private void charge(long bytes) {
        if (account != null && !account.charge(bytes)) {
            throw new PeerMemory.ExceededException(bytes);
        }
    }

    private void release(long bytes) {
        if (account != null) {
            account.release(bytes);
        }
    }

    /**
     * Adds received bytes.
     *
     * @throws PeerMemory.ExceededException if they are not accepted; the codec is then unusable
     */
    public void feed(ByteBuffer received) {
        int count = received.remaining();
        if (messageStart > 0 && end + count > buffer.length) {
            compact();
        }
        if (end + count > buffer.length) {
            int replaced = buffer.length;
            int length = Math.max(2 * replaced, end + count);
            charge(length);
            buffer = Arrays.copyOf(buffer, length);
            release(replaced);
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

    /** Returns by how many bytes the buffers exceed their initial size. */
    int excessBytes() {
        return buffer.length
                - INITIAL_BUFFER_BYTES
                + Integer.BYTES * (bounds.length - INITIAL_BOUNDS);
    }

    /**
     * Moves to the next message.
     *
     * @return whether the message is complete; its strings are valid until the next call
     */
    public boolean next() throws MalformedStreamException {
        releaseCurrentMessage();
        if (stringCount == UNKNOWN) {
            stringCount = parseLength('*');
            if (stringCount == 0) {
                throw malformed("a message with a kind, got an empty array");
            }
        }
        while (stringCount > 0 && parsedStrings < stringCount && parseString()) {
            continue;
        }
        boolean complete = stringCount > 0 && parsedStrings == stringCount;
        int partialBytes = end - messageStart;
        if (!complete && partialBytes > MAX_MESSAGE_BYTES
                || position - messageStart > MAX_MESSAGE_BYTES) {
            throw tooLong("message longer than " + MAX_MESSAGE_BYTES + " bytes");
        }
        return complete;
    }

    /** Discards a complete message, and releases memory that only it needed. */
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
            releaseBuffers();
        }
    }

    private void releaseBuffers() {
        release(excessBytes());
        if (buffer.length > INITIAL_BUFFER_BYTES) {
            buffer = new byte[INITIAL_BUFFER_BYTES];
        }
        if (bounds.length > INITIAL_BOUNDS) {
            bounds = new int[INITIAL_BOUNDS];
        }
    }

    /** Drops what was received. The codec must not be used any more. */
    void discard() {
        releaseBuffers();
        end = 0;
    }

    private boolean parseString() throws MalformedStreamException {
        if (nextLength == UNKNOWN) {
            nextLength = parseLength('$');
            if (nextLength > MAX_MESSAGE_BYTES) {
                throw tooLong(
                        "string of " + nextLength + " bytes, longer than " + MAX_MESSAGE_BYTES);
            }
        }
        if (nextLength == UNKNOWN || end - position < nextLength + 2) {
            return false;
        }
        int stringEnd = position + nextLength;
        if (buffer[stringEnd] != '\r' || buffer[stringEnd + 1] != '\n') {
            throw malformed("an end of line after a string of " + nextLength + " bytes");
        }
        if (2 * parsedStrings + 2 > bounds.length) {
            int replaced = bounds.length;
            charge(2L * Integer.BYTES * replaced);
            bounds = Arrays.copyOf(bounds, 2 * replaced);
            release((long) Integer.BYTES * replaced);
        }
        bounds[2 * parsedStrings] = position;
        bounds[2 * parsedStrings + 1] = stringEnd;
        parsedStrings++;
        position = stringEnd + 2;
        nextLength = UNKNOWN;
        return true;
    }

    /**
     * Parses a count or length after its prefix. Returns {@link #UNKNOWN} while it is incomplete.
     */
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
            throw malformed("an end of line after a count or length");
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

    /** Returns the kind of the current message. */
    public String kind() {
        return string(0);
    }

    /** Rejects a message in which a field name has no value. */
    void requireFieldPairs() throws InvalidMessageException {
        if (stringCount % 2 == 0) {
            throw badField(kind() + ": last field name has no value");
        }
    }

    /** Returns a field's value, or null if the message does not have the field. */
    private String find(String name) {
        for (int i = 1; i + 1 < stringCount; i += 2) {
            if (equalsString(i, name)) {
                return string(i + 1);
            }
        }
        return null;
    }

    /** Compares in place, because a message may have very many names. */
    private boolean equalsString(int index, String name) {
        int start = bounds[2 * index];
        boolean same = bounds[2 * index + 1] - start == name.length();
        for (int i = 0; same && i < name.length(); i++) {
            same = buffer[start + i] == name.charAt(i);
        }
        return same;
    }

    /** Returns whether the current message has a field. */
    public boolean has(String name) {
        return find(name) != null;
    }

    /** Returns a field's value in the current message. */
    public String text(String name) throws InvalidMessageException {
        String value = find(name);
        if (value == null) {
            throw badField(kind() + ": field " + name + " is missing");
        }
        return value;
    }

    /** Returns whether a field is present and says no. */
    boolean isNo(String name) {
        return NO.equals(find(name));
    }

    /** Returns a field's value as a number between 0 and {@link #MAX_NUMBER}. */
    double number(String name) throws InvalidMessageException {
        return parseNumber(name, text(name));
    }

    /** Returns a field's value as a whole number. */
    int wholeNumber(String name) throws InvalidMessageException {
        double value = number(name);
        if (value != (int) value) {
            throw badField(name + " must be a whole number, got " + value);
        }
        return (int) value;
    }

    /**
     * Returns the number of a key in a field's list of {@code key:value} pairs, or null if the
     * message does not have the field or the list does not have the key.
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
        throw badField(name + " must be a number from 0 to " + MAX_NUMBER + ", got '" + text + "'");
    }

    /** Encodes one message. */
    public static byte[] message(List<String> strings) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(arrayHeader(strings.size()));
        bytes.writeBytes(bulkStrings(strings));
        return bytes.toByteArray();
    }

    /** Encodes the header of a message with this number of strings. */
    static byte[] arrayHeader(int stringCount) {
        return ascii("*" + stringCount + "\r\n");
    }

    /** Encodes strings of a message. */
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
