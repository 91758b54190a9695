package rockshift.wire;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Writes CBOR items in a fixed order, which {@link CborReader} reads. Not thread-safe. */
public final class CborWriter {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final int INITIAL_CAPACITY_BYTES = 128;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_CAPACITY_BYTES);
    private final CBORGenerator out;

    /** Creates a writer to a buffer in memory. */
    public CborWriter() throws IOException {
        out = CBOR.createGenerator(bytes);
    }

    /** Writes the start of an array. */
    public CborWriter startArray() throws IOException {
        out.writeStartArray();
        return this;
    }

    /** Writes the end of an array. */
    public CborWriter endArray() throws IOException {
        out.writeEndArray();
        return this;
    }

    /** Writes each number as an item. */
    public CborWriter add(long... numbers) throws IOException {
        for (long number : numbers) {
            out.writeNumber(number);
        }
        return this;
    }

    /** Writes each boolean as an item. */
    public CborWriter bool(boolean... flags) throws IOException {
        for (boolean flag : flags) {
            out.writeBoolean(flag);
        }
        return this;
    }

    /** Writes a text. */
    public CborWriter text(String text) throws IOException {
        out.writeString(text);
        return this;
    }

    /** Writes a byte string. */
    public CborWriter binary(byte[] value) throws IOException {
        out.writeBinary(value);
        return this;
    }

    /** Closes the writer and returns all that was written. */
    public byte[] end() throws IOException {
        out.close();
        return bytes.toByteArray();
    }
}
