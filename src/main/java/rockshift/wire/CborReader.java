package rockshift.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;

/**
 * Reads CBOR items in a fixed order and takes exactly what {@link CborWriter} gave: a missing,
 * further or ill-typed item, or one out of its range, is an error.
 */
public final class CborReader {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final byte[] NOTHING = {};

    private final CBORParser in;

    /** The field that is being read, for what errors say; empty where fields have no names. */
    private String field = "";

    public CborReader(byte[] bytes, int from, int length) throws IOException {
        in = CBOR.createParser(bytes, from, length);
    }

    /** Names the field that is read next: what is wrong with it is told by that name. */
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
        } catch (JsonProcessingException spoilt) {
            throw wrong("no CBOR at byte " + in.currentLocation().getByteOffset());
        }
    }

    private void expect(JsonToken token) throws IOException {
        JsonToken came = next();
        if (came != token) {
            throw wrong("expected " + token + ", found " + came);
        }
    }

    public void startArray() throws IOException {
        expect(JsonToken.START_ARRAY);
    }

    /**
     * Reads the next token of an array whose items are read one by one; false at the array's end.
     */
    public boolean more() throws IOException {
        JsonToken came = next();
        if (came == null) {
            throw wrong("an array that does not end");
        }
        return came != JsonToken.END_ARRAY;
    }

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

    public long number(long least, long most) throws IOException {
        long number = number();
        if (number < least || number > most) {
            throw wrong(number + " out of range");
        }
        return number;
    }

    public int whole(int most) throws IOException {
        return (int) number(0, most);
    }

    /** One of an enumeration's values, written as its ordinal. */
    public <E extends Enum<E>> E oneOf(E[] values) throws IOException {
        return values[whole(values.length - 1)];
    }

    public boolean flag() throws IOException {
        JsonToken token = next();
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
            throw wrong("expected a yes or no, found " + token);
        }
        return token == JsonToken.VALUE_TRUE;
    }

    public String text() throws IOException {
        expect(JsonToken.VALUE_STRING);
        try {
            return in.getText();
        } catch (JsonProcessingException spoilt) {
            throw wrong("no text");
        }
    }

    public String text(int longest) throws IOException {
        String text = text();
        if (text.length() > longest) {
            throw wrong("text of " + text.length() + " characters, at most " + longest);
        }
        return text;
    }

    public byte[] bytes() throws IOException {
        expect(JsonToken.VALUE_EMBEDDED_OBJECT);
        try {
            byte[] value = in.getBinaryValue();
            return value == null ? NOTHING : value;
        } catch (JsonProcessingException spoilt) {
            throw wrong("no bytes");
        }
    }

    public byte[] bytes(int longest) throws IOException {
        byte[] value = bytes();
        if (value.length > longest) {
            throw wrong("a value of " + value.length + " bytes, at most " + longest);
        }
        return value;
    }

    /** Takes the end of the outermost array, after which nothing may follow. */
    public void end() throws IOException {
        endArray();
        if (next() != null) {
            throw wrong("more than one item");
        }
    }
}
