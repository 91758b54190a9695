package rockshift.server;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rockshift.model.Endpoint;
import rockshift.model.Ticks;

/** Reads a list of replicas in discovery's JSON format. Unknown fields are skipped. */
final class EndpointListReader {
    private static final JsonFactory JSON = new JsonFactory();

    private final JsonParser json;
    private final List<Endpoint> entries = new ArrayList<>();
    private final Map<Long, String> names = new HashMap<>();

    private EndpointListReader(JsonParser json) {
        this.json = json;
    }

    /** Reads a list from an answer of discovery. */
    static EndpointList read(byte[] text) throws IOException {
        try (JsonParser json = JSON.createParser(text)) {
            json.nextToken();
            return read(json);
        }
    }

    /** Reads a list within another document, from its opening brace to its closing one. */
    static EndpointList read(JsonParser json) throws IOException {
        return new EndpointListReader(json).readList();
    }

    private EndpointList readList() throws IOException {
        Long version = null;
        Boolean whole = null;
        boolean hasEntries = false;
        expect(JsonToken.START_OBJECT);
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "generation" -> version = json.getLongValue();
                case "reset" -> whole = json.getBooleanValue();
                case "instances" -> {
                    hasEntries = true;
                    readEntries();
                }
                default -> json.skipChildren();
            }
        }
        if (version == null || whole == null || !hasEntries) {
            throw new JsonParseException(
                    json, "list must have the fields generation, reset and instances");
        }
        return new EndpointList(version, whole, entries, names);
    }

    private void readEntries() throws IOException {
        expect(JsonToken.START_ARRAY);
        while (json.nextToken() != JsonToken.END_ARRAY) {
            entries.add(readEntry());
        }
    }

    private Endpoint readEntry() throws IOException {
        String name = null;
        String zone = null;
        String machineType = "";
        Endpoint.Health health = null;
        long startedAtTicks = 0;
        expect(JsonToken.START_OBJECT);
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "instanceId" -> name = readText();
                case "zone" -> zone = readText();
                case "machineType" -> machineType = readText();
                case "lifecycle" -> health = Endpoint.Health.fromWireName(readText());
                case "startedAtMs" ->
                        startedAtTicks = Math.round(json.getDoubleValue() * Ticks.TICKS_PER_MILLI);
                default -> json.skipChildren();
            }
        }
        if (name == null || zone == null || health == null) {
            throw new JsonParseException(
                    json, "entry must have the fields instanceId, zone and a known lifecycle");
        }
        long id = ReplicaIds.idOf(name);
        ReplicaIds.putName(names, id, name);
        return new Endpoint(id, zone, machineType, health, startedAtTicks);
    }

    private String readText() throws IOException {
        expect(JsonToken.VALUE_STRING);
        return json.getText();
    }

    private void expect(JsonToken token) throws IOException {
        if (json.currentToken() != token) {
            throw new JsonParseException(
                    json, "expected " + token + ", got " + json.currentToken());
        }
    }
}
