package rockshift.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;

/**
 * Reads CBOR items in a fixed order, and accepts only what {@link CborWriter} writes: a missing or
 * extra item, one of the wrong type or one out of its range is an error. Not thread-safe.
 */
public final class CborReader {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final byte[] NO_BYTES = {};

    private final CBORParser in;

    /** The name of the field being read, for error messages; empty if fields have no names. */
    private String field = "";

    /** Creates a reader for a part of an array. */
    public CborReader(byte[] bytes, int from, int length) throws IOException {
        in = CBOR.createParser(bytes, from, length);
    }

    /** Sets the name of the field that is read next, for error messages. */
    public CborReader field(String name) {
        field = name;
        return this;
    }

    /** Returns an exception for the field being read. */
    public IOException invalid(String problem) {
        return new IOException(field.isEmpty() ? problem : "field " + field + ": " + problem);
    }

    private JsonToken next() throws IOException {
        try {
            return in.nextToken();
        } catch (JsonProcessingException malformed) {
            throw invalid("invalid CBOR at byte " + in.currentLocation().getByteOffset());
        }
    }

    private void expect(JsonToken expected) throws IOException {
        JsonToken token = next();
        if (token != expected) {
            throw invalid("expected " + expected + ", found " + token);
        }
    }

    /** Reads the start of an array. */
    public void startArray() throws IOException {
        expect(JsonToken.START_ARRAY);
    }

    /**
     * Advances to the next item of an array.
     *
     * @return false at the end of the array
     */
    public boolean more() throws IOException {
        JsonToken token = next();
        if (token == null) {
            throw invalid("expected the end of an array, found the end of the input");
        }
        return token != JsonToken.END_ARRAY;
    }

    /** Reads the end of an array. */
    public void endArray() throws IOException {
        expect(JsonToken.END_ARRAY);
    }

    /** Returns the number that {@link #more} has advanced to. */
    public long currentNumber() throws IOException {
        if (in.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw invalid("expected a number, found " + in.currentToken());
        }
        return longValue();
    }

    /** Reads a number. */
    public long number() throws IOException {
        expect(JsonToken.VALUE_NUMBER_INT);
        return longValue();
    }

    private long longValue() throws IOException {
        try {
            return in.getLongValue();
        } catch (JsonProcessingException tooLarge) {
            throw invalid("number does not fit into 64 bits");
        }
    }

    /** Reads a number in a range, both ends included. */
    public long number(long min, long max) throws IOException {
        long number = number();
        if (number < min || number > max) {
            throw invalid(number + " out of range, expected " + min + " to " + max);
        }
        return number;
    }

    /** Reads a number from 0 to {@code max}, both included. */
    public int unsignedInt(int max) throws IOException {
        return (int) number(0, max);
    }

    /** Reads an enum constant, written as its ordinal. */
    public <E extends Enum<E>> E enumConstant(E[] values) throws IOException {
        return values[unsignedInt(values.length - 1)];
    }

    /** Reads a boolean. */
    public boolean bool() throws IOException {
        JsonToken token = next();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw invalid("expected a boolean, found " + token);
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads a text. */
    public String text() throws IOException {
        expect(JsonToken.VALUE_STRING);
        try {
            return in.getText();
        } catch (JsonProcessingException malformed) {
            throw invalid("malformed text");
        }
    }

    /** Reads a text of at most {@code maxLength} characters. */
    public String text(int maxLength) throws IOException {
        String text = text();
        if (text.length() > maxLength) {
            throw invalid(
                    "text of " + text.length() + " characters, expected at most " + maxLength);
        }
        return text;
    }

    /** Reads a byte string. */
    public byte[] bytes() throws IOException {
        expect(JsonToken.VALUE_EMBEDDED_OBJECT);
        try {
            byte[] value = in.getBinaryValue();
            return value == null ? NO_BYTES : value;
        } catch (JsonProcessingException malformed) {
            throw invalid("malformed byte string");
        }
    }

    /** Reads a byte string of at most {@code maxLength} bytes. */
    public byte[] bytes(int maxLength) throws IOException {
        byte[] value = bytes();
        if (value.length > maxLength) {
            throw invalid("a value of " + value.length + " bytes, expected at most " + maxLength);
        }
        return value;
    }

    /** Reads the end of the outermost array. Nothing may follow it. */
    public void end() throws IOException {
        endArray();
        if (next() != null) {
            throw invalid("expected the end of the input, found more than one item");
        }
    }
}
