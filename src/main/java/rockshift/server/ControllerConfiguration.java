package rockshift.server;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import rockshift.settings.ClassNames;
import rockshift.settings.InvalidSettingException;
import rockshift.settings.PlannerSettings;
import rockshift.settings.SettingsParser;

/**
 * What a governor is told in its file: where it is, where discovery is, what it may use, the list
 * that it last had, and its terms. It is what one reading found and never changes, and what is
 * missing is named.
 */
record ControllerConfiguration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int descriptors,
        EndpointList known,
        PlannerSettings settings) {
    /** Descriptors where none are told: what is usual for a process. */
    private static final int USUAL_DESCRIPTORS = 1024;

    /** Tenths of a ms in a second. */
    private static final double SECOND = 10_000;

    /** A file that can't be used; the message names it and the field. */
    static final class InvalidFileException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidFileException(String message) {
            super(message);
        }
    }

    static ControllerConfiguration read(String file) throws InvalidFileException {
        if (file == null || file.isEmpty()) {
            throw new InvalidFileException("RELAY_CONFIG names no file");
        }
        String name = "governor";
        InetSocketAddress listen = null;
        InetSocketAddress discovery = null;
        Long seed = null;
        int descriptors = USUAL_DESCRIPTORS;
        EndpointList known = null;
        SettingsParser settings = new SettingsParser();
        Map<String, JsonLocation> places = new HashMap<>();
        String field = "";
        try (JsonParser json = new JsonFactory().createParser(new File(file))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidFileException(file + ": no JSON object");
            }
            while (json.nextToken() != JsonToken.END_OBJECT) {
                field = json.currentName();
                json.nextToken();
                switch (field) {
                    case "name" -> name = json.getText();
                    case "listen" -> listen = address(json.getText());
                    case "discovery" -> discovery = address(json.getText());
                    case "seed" -> seed = Long.parseUnsignedLong(json.getText(), 16);
                    case "known" -> known = EndpointListReader.read(json);
                    case "limits" -> descriptors = sockets(json, descriptors);
                    case "settings" -> flatten("", json, settings, places);
                    default -> json.skipChildren();
                }
            }
        } catch (IOException | IllegalArgumentException wrong) {
            String what =
                    wrong.getMessage() == null
                            ? wrong.toString()
                            : wrong.getMessage().split("\n")[0];
            throw new InvalidFileException(
                    file + ": " + (field.isEmpty() ? "" : "field " + field + ": ") + what);
        }
        require(file, "listen", listen);
        require(file, "discovery", discovery);
        require(file, "seed", seed);
        require(file, "known", known);
        return new ControllerConfiguration(
                name, listen, discovery, seed, descriptors, known, build(file, settings, places));
    }

    /** The settings; an error names the field, and the place of a class name that is no use. */
    private static PlannerSettings build(
            String file, SettingsParser settings, Map<String, JsonLocation> places)
            throws InvalidFileException {
        try {
            settings.requireDeployment();
            return settings.build();
        } catch (ClassNames.InvalidNameException invalid) {
            JsonLocation place = places.get(SettingsParser.classNamePath(invalid.number()));
            String line = "line " + place.getLineNr() + ", column " + place.getColumnNr();
            throw new InvalidFileException(file + ": " + line + ": " + describe(invalid));
        } catch (InvalidSettingException invalid) {
            throw new InvalidFileException(file + ": " + describe(invalid));
        }
    }

    private static String describe(InvalidSettingException invalid) {
        return "field settings (" + invalid.field() + ") " + invalid.reason();
    }

    /**
     * What is told of the channel that could not be kept if all proxies told were here, a line for
     * each field. The least that all of them can be sent is one line each, with its head and its
     * mark.
     */
    List<String> beyondChannel() {
        double proxies = settings.expectedProxies();
        double least = proxies * (settings.messageOverheadEntries() + 2);
        double limit = settings.channelQueueLimitEntries();
        double grace = Math.min(settings.drainGraceTicks(), Double.MAX_VALUE) / SECOND;
        double rate = settings.channelEntriesPerSecond();
        double takes = least / rate;
        List<String> lines = new ArrayList<>();
        if (least > limit) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            SettingsParser.CHANNEL_QUEUE_LIMIT
                                    + " %.0f: one drain told to all %.0f proxies at once comes"
                                    + " to %.0f lines",
                            limit,
                            proxies,
                            least));
        }
        if (takes > grace) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            SettingsParser.CHANNEL_RATE
                                    + " %.0f: one drain told to all %.0f proxies takes"
                                    + " %.1f of the %.1f s that it is given",
                            rate == Double.MAX_VALUE ? 0 : rate,
                            proxies,
                            takes,
                            grace));
        }
        return lines;
    }

    /**
     * The fields in which another file differs though they stand for as long as the process serves.
     */
    String fixed(ControllerConfiguration other) {
        return Stream.of(
                        name.equals(other.name) ? "" : "name",
                        listen.equals(other.listen) ? "" : "listen",
                        descriptors == other.descriptors ? "" : "limits",
                        settings.equals(other.settings) ? "" : "settings")
                .filter(field -> !field.isEmpty())
                .collect(Collectors.joining(", "));
    }

    private static void require(String file, String field, Object value)
            throws InvalidFileException {
        if (value == null) {
            throw new InvalidFileException(file + ": field " + field + " is missing");
        }
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("an address with a port, not '" + text + "'");
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static int sockets(JsonParser json, int otherwise) throws IOException {
        int told = otherwise;
        if (json.currentToken() != JsonToken.START_OBJECT) {
            throw new IllegalArgumentException("no JSON object");
        }
        while (json.nextToken() != JsonToken.END_OBJECT) {
            boolean sockets = json.currentName().equals("sockets");
            json.nextToken();
            told = sockets ? json.getIntValue() : told;
            json.skipChildren();
        }
        return told;
    }

    /**
     * Nested values as paths: plain lists joined by commas, lists of objects numbered and counted.
     * Where a plain value stands is noted under its path.
     */
    private static void flatten(
            String path, JsonParser json, SettingsParser settings, Map<String, JsonLocation> places)
            throws IOException {
        if (json.currentToken() == JsonToken.START_OBJECT) {
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String step = path.isEmpty() ? json.currentName() : path + "." + json.currentName();
                json.nextToken();
                flatten(step, json, settings, places);
            }
        } else if (json.currentToken() == JsonToken.START_ARRAY) {
            StringJoiner plain = new StringJoiner(",");
            int objects = 0;
            while (json.nextToken() != JsonToken.END_ARRAY) {
                if (json.currentToken().isScalarValue()) {
                    plain.add(json.getText());
                } else {
                    flatten(path + "." + objects++, json, settings, places);
                }
            }
            settings.put(
                    objects > 0 ? path + ".count" : path,
                    objects > 0 ? Integer.toString(objects) : plain.toString());
        } else if (json.currentToken() != JsonToken.VALUE_NULL) {
            settings.put(path, json.getText());
            places.put(path, json.currentTokenLocation());
        }
    }
}
