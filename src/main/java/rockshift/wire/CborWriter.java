package rockshift.wire;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Writes CBOR items in a fixed order; {@link CborReader} reads them back. */
public final class CborWriter {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final int USUAL_SIZE = 128;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(USUAL_SIZE);
    private final CBORGenerator out;

    public CborWriter() throws IOException {
        out = CBOR.createGenerator(bytes);
    }

    public CborWriter startArray() throws IOException {
        out.writeStartArray();
        return this;
    }

    public CborWriter endArray() throws IOException {
        out.writeEndArray();
        return this;
    }

    public CborWriter add(long... numbers) throws IOException {
        for (long number : numbers) {
            out.writeNumber(number);
        }
        return this;
    }

    public CborWriter flag(boolean... flags) throws IOException {
        for (boolean flag : flags) {
            out.writeBoolean(flag);
        }
        return this;
    }

    public CborWriter text(String text) throws IOException {
        out.writeString(text);
        return this;
    }

    public CborWriter binary(byte[] value) throws IOException {
        out.writeBinary(value);
        return this;
    }

    /** Closes the writer; answers all that was written. */
    public byte[] end() throws IOException {
        out.close();
        return bytes.toByteArray();
    }
}
