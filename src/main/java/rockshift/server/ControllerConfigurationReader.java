package rockshift.server;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.StringJoiner;
import rockshift.settings.ClassNames;
import rockshift.settings.InvalidSettingException;
import rockshift.settings.PlannerSettings;
import rockshift.settings.SettingsParser;

/**
 * Reads a controller's configuration file, in the format that the platform defines. Unknown fields
 * are skipped; the error for a missing or invalid field names it.
 */
final class ControllerConfigurationReader {
    /** Default if the file has none: the usual limit of a process. */
    private static final int DEFAULT_DESCRIPTORS = 1024;

    private static final int HEXADECIMAL = 16;

    private final String file;
    private String name = "governor";
    private InetSocketAddress listen;
    private InetSocketAddress discovery;
    private Long seed;
    private int descriptors = DEFAULT_DESCRIPTORS;
    private EndpointList known;
    private final SettingsParser settings = new SettingsParser();

    /** Location of each setting in the file, by its path. */
    private final Map<String, JsonLocation> locations = new HashMap<>();

    /** The top-level field that is being read. */
    private String field = "";

    private ControllerConfigurationReader(String file) {
        this.file = file;
    }

    static ControllerConfiguration read(String file) throws InvalidConfigurationException {
        if (file == null || file.isEmpty()) {
            throw new InvalidConfigurationException(
                    "RELAY_CONFIG must name the configuration file, but is not set or empty");
        }
        return new ControllerConfigurationReader(file).read();
    }

    private ControllerConfiguration read() throws InvalidConfigurationException {
        try (JsonParser json = new JsonFactory().createParser(new File(file))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidConfigurationException(
                        file + ": must be a JSON object, got " + json.currentToken());
            }
            while (json.nextToken() != JsonToken.END_OBJECT) {
                field = json.currentName();
                json.nextToken();
                readField(json);
            }
        } catch (IOException | IllegalArgumentException invalid) {
            throw unreadable(invalid);
        }
        require("listen", listen);
        require("discovery", discovery);
        require("seed", seed);
        require("known", known);
        return new ControllerConfiguration(
                name, listen, discovery, seed, descriptors, known, buildSettings());
    }

    private void readField(JsonParser json) throws IOException {
        switch (field) {
            case "name" -> name = json.getText();
            case "listen" -> listen = parseAddress(json.getText());
            case "discovery" -> discovery = parseAddress(json.getText());
            case "seed" -> seed = Long.parseUnsignedLong(json.getText(), HEXADECIMAL);
            case "known" -> known = EndpointListReader.read(json);
            case "limits" -> readLimits(json);
            case "settings" -> readSettings("", json);
            default -> json.skipChildren();
        }
    }

    private InvalidConfigurationException unreadable(Exception cause) {
        String reason =
                cause.getMessage() == null ? cause.toString() : cause.getMessage().split("\n")[0];
        String place = field.isEmpty() ? "" : "field " + field + ": ";
        return new InvalidConfigurationException(file + ": " + place + reason, cause);
    }

    private void require(String requiredField, Object value) throws InvalidConfigurationException {
        if (value == null) {
            throw new InvalidConfigurationException(
                    file + ": field " + requiredField + " is missing");
        }
    }

    /**
     * Builds the settings. An error names the field and, for an invalid class name, its line and
     * column.
     */
    private PlannerSettings buildSettings() throws InvalidConfigurationException {
        try {
            settings.requireDeployment();
            return settings.build();
        } catch (ClassNames.InvalidNameException invalid) {
            JsonLocation at = locations.get(SettingsParser.classNamePath(invalid.number()));
            String place = "line " + at.getLineNr() + ", column " + at.getColumnNr();
            throw new InvalidConfigurationException(
                    file + ": " + place + ": " + describe(invalid), invalid);
        } catch (InvalidSettingException invalid) {
            throw new InvalidConfigurationException(file + ": " + describe(invalid), invalid);
        }
    }

    private static String describe(InvalidSettingException invalid) {
        return "field settings (" + invalid.field() + ") " + invalid.reason();
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException(
                    "must be an address with a port, got '" + text + "'");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    private void readLimits(JsonParser json) throws IOException {
        if (json.currentToken() != JsonToken.START_OBJECT) {
            throw new IllegalArgumentException("must be a JSON object, got " + json.currentToken());
        }
        while (json.nextToken() != JsonToken.END_OBJECT) {
            boolean isSockets = json.currentName().equals("sockets");
            json.nextToken();
            if (isSockets) {
                descriptors = json.getIntValue();
            }
            json.skipChildren();
        }
    }

    /**
     * Reads nested settings as paths. A list of scalars becomes one value joined by commas; a list
     * of objects becomes numbered paths and a count.
     */
    private void readSettings(String path, JsonParser json) throws IOException {
        if (json.currentToken() == JsonToken.START_OBJECT) {
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String step = path.isEmpty() ? json.currentName() : path + "." + json.currentName();
                json.nextToken();
                readSettings(step, json);
            }
        } else if (json.currentToken() == JsonToken.START_ARRAY) {
            readList(path, json);
        } else if (json.currentToken() != JsonToken.VALUE_NULL) {
            settings.put(path, json.getText());
            locations.put(path, json.currentTokenLocation());
        }
    }

    private void readList(String path, JsonParser json) throws IOException {
        StringJoiner scalars = new StringJoiner(",");
        int objects = 0;
        while (json.nextToken() != JsonToken.END_ARRAY) {
            if (json.currentToken().isScalarValue()) {
                scalars.add(json.getText());
            } else {
                readSettings(path + "." + objects, json);
                objects++;
            }
        }
        if (objects > 0) {
            settings.put(path + ".count", Integer.toString(objects));
        } else {
            settings.put(path, scalars.toString());
        }
    }
}
