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
import rockshift.settings.SettingNames;

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
        Map<String, String> terms) {
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
        SettingNames terms = new SettingNames();
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
                    case "settings" -> flatten("", json, terms, places);
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
        checkSettings(file, terms.map(), places);
        return new ControllerConfiguration(
                name, listen, discovery, seed, descriptors, known, terms.map());
    }

    /** Names the first of the terms that is missing or can't be used. */
    private static void checkSettings(
            String file, Map<String, String> terms, Map<String, JsonLocation> places)
            throws InvalidFileException {
        for (String needed : new String[] {"zones", "classes", "proxies"}) {
            require(file, "settings (" + needed + ")", terms.get(needed));
        }
        try {
            for (int k = 0; k < Integer.parseInt(terms.get("classes")); k++) {
                require(file, "settings (class." + k + ".name)", terms.get("class." + k + ".name"));
            }
            ClassNames.of(terms);
            Double.parseDouble(terms.get("proxies"));
        } catch (NumberFormatException wrong) {
            throw new InvalidFileException(file + ": field settings: " + wrong.getMessage());
        } catch (ClassNames.InvalidNameException wrong) {
            JsonLocation place = places.get("classes." + wrong.number() + ".name");
            throw new InvalidFileException(
                    file
                            + ": line "
                            + place.getLineNr()
                            + ", column "
                            + place.getColumnNr()
                            + ": field settings ("
                            + wrong.field()
                            + ") "
                            + wrong.getMessage());
        }
    }

    /**
     * What is told of the channel that could not be kept if all proxies told were here, a line for
     * each field. The least that all of them can be sent is one line each, with its head and its
     * mark.
     */
    List<String> beyondChannel() {
        double proxies = number("proxies", 0);
        double least = proxies * (number("message.head", 0) + 2);
        double limit = number("channel.limit", Double.MAX_VALUE);
        double grace = number("drain.grace", Double.MAX_VALUE) / SECOND;
        double takes = least / number("channel.pace", Double.MAX_VALUE);
        List<String> lines = new ArrayList<>();
        if (least > limit) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "domain.backlog %.0f: one drain told to all %.0f proxies at once comes"
                                    + " to %.0f lines",
                            limit,
                            proxies,
                            least));
        }
        if (takes > grace) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "domain.channel_rate %.0f: one drain told to all %.0f proxies takes"
                                    + " %.1f of the %.1f s that it is given",
                            number("channel.pace", 0),
                            proxies,
                            takes,
                            grace));
        }
        return lines;
    }

    private double number(String name, double otherwise) {
        String value = terms.get(name);
        return value == null || value.isEmpty() ? otherwise : Double.parseDouble(value);
    }

    /**
     * The fields in which another file differs though they stand for as long as the process serves.
     */
    String fixed(ControllerConfiguration other) {
        return Stream.of(
                        name.equals(other.name) ? "" : "name",
                        listen.equals(other.listen) ? "" : "listen",
                        descriptors == other.descriptors ? "" : "limits",
                        terms.equals(other.terms) ? "" : "settings")
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
            String path, JsonParser json, SettingNames terms, Map<String, JsonLocation> places)
            throws IOException {
        if (json.currentToken() == JsonToken.START_OBJECT) {
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String step = path.isEmpty() ? json.currentName() : path + "." + json.currentName();
                json.nextToken();
                flatten(step, json, terms, places);
            }
        } else if (json.currentToken() == JsonToken.START_ARRAY) {
            StringJoiner plain = new StringJoiner(",");
            int objects = 0;
            while (json.nextToken() != JsonToken.END_ARRAY) {
                if (json.currentToken().isScalarValue()) {
                    plain.add(json.getText());
                } else {
                    flatten(path + "." + objects++, json, terms, places);
                }
            }
            terms.put(
                    objects > 0 ? path + ".count" : path,
                    objects > 0 ? Integer.toString(objects) : plain.toString());
        } else if (json.currentToken() != JsonToken.VALUE_NULL) {
            terms.put(path, json.getText());
            places.put(path, json.currentTokenLocation());
        }
    }
}
