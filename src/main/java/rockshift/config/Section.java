package rockshift.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A block of an operator's configuration file. The getters check the type and range of a field; a
 * missing field takes the default value, and is an error if that is null. {@link
 * #rejectUnknownFields} rejects the fields that were never read. Not thread-safe.
 */
public final class Section {
    private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s|m|h)");
    private static final int TICKS_PER_MILLI = 10;
    private static final Pattern BYTES = Pattern.compile("(\\d+)(B|KB|MB)");

    private final String file;
    private final LineIndex lines;
    private final String path;
    private final Map<String, Object> values;
    private final TreeSet<String> read = new TreeSet<>();
    private final List<Section> nested = new ArrayList<>();

    Section(String file, LineIndex lines, String path, Map<String, Object> values) {
        this.file = file;
        this.lines = lines;
        this.path = path;
        this.values = values;
    }

    private String path(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    /**
     * Creates an exception for a field of this block; an empty name stands for the block itself.
     */
    public InvalidFileException invalid(String field, String problem) {
        String fullPath = field.isEmpty() ? path : path(field);
        return new InvalidFileException(file, lines.lineOf(fullPath), fullPath, problem);
    }

    private Object read(String field) {
        read.add(field);
        return values.get(field);
    }

    /** Returns whether a field or block is present. */
    public boolean has(String field) {
        return values.get(field) != null;
    }

    /** Reads a string that must not be empty. */
    public String text(String field, String defaultValue) throws InvalidFileException {
        Object value = read(field);
        if (value == null && defaultValue != null) {
            return defaultValue;
        } else if (value == null) {
            throw invalid(field, "is missing");
        } else if (!(value instanceof String) || ((String) value).isEmpty()) {
            throw invalid(field, "must be text, not " + value);
        }
        return (String) value;
    }

    /** Reads a list of distinct strings; returns an empty set if the field is missing. */
    public Set<String> texts(String field, int maxLength) throws InvalidFileException {
        Object value = read(field);
        if (value != null && !(value instanceof List<?>)) {
            throw invalid(field, "must be a list of texts, not " + value);
        }
        Set<String> found = new LinkedHashSet<>();
        for (Object each : value == null ? List.of() : (List<?>) value) {
            if (!(each instanceof String text) || text.isEmpty() || text.length() > maxLength) {
                throw invalid(
                        field, "must list texts of 1 to " + maxLength + " characters, not " + each);
            } else if (!found.add(text)) {
                throw invalid(field, "lists '" + text + "' twice");
            }
        }
        return found;
    }

    /** Reads a string that must be one of the allowed values. */
    public String choice(String field, String defaultValue, String... allowed)
            throws InvalidFileException {
        String value = text(field, defaultValue);
        if (!List.of(allowed).contains(value)) {
            throw invalid(
                    field,
                    "must be one of " + String.join(", ", allowed) + ", not '" + value + "'");
        }
        return value;
    }

    /** Reads a number within a range. */
    public double number(String field, Double defaultValue, double min, double max)
            throws InvalidFileException {
        Object value = read(field);
        if (value == null && defaultValue != null) {
            return defaultValue;
        } else if (!(value instanceof Number)) {
            throw invalid(field, value == null ? "is missing" : "must be a number, not " + value);
        }
        double number = ((Number) value).doubleValue();
        if (!(number >= min && number <= max)) {
            throw invalid(
                    field,
                    "must be from "
                            + format(min)
                            + " to "
                            + format(max)
                            + ", not "
                            + format(number));
        }
        return number;
    }

    /** Reads a whole number within a range. */
    public int integer(String field, Integer defaultValue, int min, int max)
            throws InvalidFileException {
        double number =
                number(field, defaultValue == null ? null : defaultValue.doubleValue(), min, max);
        if (number != Math.rint(number)) {
            throw invalid(field, "must be a whole number, not " + number);
        }
        return (int) number;
    }

    private static String format(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** Reads a boolean. */
    public boolean flag(String field, boolean defaultValue) throws InvalidFileException {
        Object value = read(field);
        if (value != null && !(value instanceof Boolean)) {
            throw invalid(field, "must be true or false, not " + value);
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /** Reads a duration such as 200ms or 5s, and returns it in ticks of 100 us. */
    public long durationTicks(String field, String defaultValue, long minMillis, long maxMillis)
            throws InvalidFileException {
        String value = text(field, defaultValue);
        Matcher parts = DURATION.matcher(value);
        if (!parts.matches()) {
            throw invalid(
                    field,
                    "must be a duration with a unit, such as 200ms or 5s, not '" + value + "'");
        }
        double millis =
                Double.parseDouble(parts.group(1))
                        * switch (parts.group(2)) {
                            case "ms" -> 1;
                            case "s" -> 1_000;
                            case "m" -> 60_000;
                            default -> 3_600_000;
                        };
        if (millis < minMillis || millis > maxMillis) {
            throw invalid(
                    field, "must be from " + minMillis + "ms to " + maxMillis + "ms, not " + value);
        }
        return Math.round(millis * TICKS_PER_MILLI);
    }

    /** Reads a size such as 4MB, and returns it in bytes. */
    public long bytes(String field, String defaultValue, long min, long max)
            throws InvalidFileException {
        String value = text(field, defaultValue);
        Matcher parts = BYTES.matcher(value);
        if (!parts.matches()) {
            throw invalid(
                    field, "must be a size with a unit, such as 512KB or 4MB, not '" + value + "'");
        }
        long size =
                Long.parseLong(parts.group(1))
                        << switch (parts.group(2)) {
                            case "B" -> 0;
                            case "KB" -> 10;
                            default -> 20;
                        };
        if (size < min || size > max) {
            throw invalid(field, "must be from " + min + " to " + max + " bytes, not " + value);
        }
        return size;
    }

    /** Reads an address of the form HOST:PORT. */
    public InetSocketAddress address(String field, String defaultValue)
            throws InvalidFileException {
        String value = text(field, defaultValue);
        try {
            return parseAddress(value);
        } catch (IllegalArgumentException malformed) {
            throw invalid(field, malformed.getMessage());
        }
    }

    /**
     * Parses an address of the form HOST:PORT.
     *
     * @throws IllegalArgumentException if the port is missing or invalid
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new InetSocketAddress(
                        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException malformed) {
            // Reported below, with the same message as a missing port.
        }
        throw new IllegalArgumentException("must be an address as HOST:PORT, not '" + text + "'");
    }

    /** Returns a nested block, or null if it is missing. */
    public Section block(String field) throws InvalidFileException {
        Object value = read(field);
        return value == null ? null : section(field, value);
    }

    /** Returns the nested blocks of one type by label, in the order of the file. */
    public Map<String, Section> blocks(String field) throws InvalidFileException {
        Map<String, Section> found = new LinkedHashMap<>();
        Object value = read(field);
        if (value instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                found.put(
                        entry.getKey().toString(),
                        section(field + "." + entry.getKey(), entry.getValue()));
            }
        } else if (value != null) {
            throw invalid(field, "must be blocks with a label");
        }
        return found;
    }

    private Section section(String field, Object value) throws InvalidFileException {
        if (!(value instanceof Map<?, ?> map)) {
            throw invalid(field, "must be a block");
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        map.forEach((key, each) -> fields.put(key.toString(), each));
        Section section = new Section(file, lines, path(field), fields);
        nested.add(section);
        return section;
    }

    /** Rejects the fields that were never read, so that a misspelt one does not go unnoticed. */
    public void rejectUnknownFields() throws InvalidFileException {
        for (String field : values.keySet()) {
            if (!read.contains(field)) {
                throw invalid(field, "is unknown");
            }
        }
        for (Section section : nested) {
            section.rejectUnknownFields();
        }
    }
}
