package rockshift.cluster;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Encodes replies to commands as JSON objects that repeat the number of the call. */
final class CommandReply {
    private static final JsonFactory JSON = new JsonFactory();

    private CommandReply() {}

    /** Writes the fields of a reply. */
    interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    static byte[] encode(long callNumber, Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField("call", callNumber);
            fields.write(json);
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return bytes.toByteArray();
    }

    /** Encodes the reply to a call that is refused. */
    static byte[] refusal(long callNumber, String refusal) {
        return encode(callNumber, json -> json.writeStringField("refused", refusal));
    }
}
