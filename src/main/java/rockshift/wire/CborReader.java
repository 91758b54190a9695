package rockshift.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;

/**
 * Reads CBOR items in a fixed order, and accepts exactly what {@link CborWriter} wrote: a missing,
 * further or ill-typed item, or one out of its range, is an error. One thread uses a reader.
 */
public final class CborReader {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final byte[] NO_BYTES = {};

    private final CBORParser in;

    /** The field that is being read, for errors; empty where fields have no names. */
    private String field = "";

    /** Reads a part of an array. */
    public CborReader(byte[] bytes, int from, int length) throws IOException {
        in = CBOR.createParser(bytes, from, length);
    }

    /** Names the field that is read next, for errors. */
    public CborReader at(String name) {
        field = name;
        return this;
    }

    /** An error at the field that is being read. */
    public IOException wrong(String what) {
        return new IOException(field.isEmpty() ? what : "field " + field + ": " + what);
    }

    private JsonToken next() throws IOException {
        try {
            return in.nextToken();
        } catch (JsonProcessingException malformed) {
            throw wrong("no CBOR at byte " + in.currentLocation().getByteOffset());
        }
    }

    private void expect(JsonToken expected) throws IOException {
        JsonToken token = next();
        if (token != expected) {
            throw wrong("expected " + expected + ", found " + token);
        }
    }

    /** Reads the start of an array. */
    public void startArray() throws IOException {
        expect(JsonToken.START_ARRAY);
    }

    /**
     * Reads the next token of an array whose items are read one by one; false at the array's end.
     */
    public boolean more() throws IOException {
        JsonToken token = next();
        if (token == null) {
            throw wrong("an array that does not end");
        }
        return token != JsonToken.END_ARRAY;
    }

    /** Reads the end of an array. */
    public void endArray() throws IOException {
        expect(JsonToken.END_ARRAY);
    }

    /** The number that {@link #more} has just reached. */
    public long currentNumber() throws IOException {
        if (in.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw wrong("expected a number, found " + in.currentToken());
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
            throw wrong("a number that is too large");
        }
    }

    /** Reads a number within a range, both ends included. */
    public long number(long min, long max) throws IOException {
        long number = number();
        if (number < min || number > max) {
            throw wrong(number + " out of range");
        }
        return number;
    }

    /** Reads a number from 0 to a limit, included. */
    public int whole(int max) throws IOException {
        return (int) number(0, max);
    }

    /** Reads a value of an enumeration, written as its ordinal. */
    public <E extends Enum<E>> E oneOf(E[] values) throws IOException {
        return values[whole(values.length - 1)];
    }

    /** Reads a boolean. */
    public boolean flag() throws IOException {
        JsonToken token = next();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw wrong("expected a yes or no, found " + token);
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads a text. */
    public String text() throws IOException {
        expect(JsonToken.VALUE_STRING);
        try {
            return in.getText();
        } catch (JsonProcessingException malformed) {
            throw wrong("no text");
        }
    }

    /** Reads a text of a limited number of characters. */
    public String text(int maxLength) throws IOException {
        String text = text();
        if (text.length() > maxLength) {
            throw wrong("text of " + text.length() + " characters, at most " + maxLength);
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
            throw wrong("no bytes");
        }
    }

    /** Reads a byte string of a limited length. */
    public byte[] bytes(int maxLength) throws IOException {
        byte[] value = bytes();
        if (value.length > maxLength) {
            throw wrong("a value of " + value.length + " bytes, at most " + maxLength);
        }
        return value;
    }

    /** Reads the end of the outermost array, after which nothing may follow. */
    public void end() throws IOException {
        endArray();
        if (next() != null) {
            throw wrong("more than one item");
        }
    }
}
