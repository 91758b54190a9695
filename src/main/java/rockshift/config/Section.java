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
 * One block of the operator's file. Each field is read as what it must be; what nobody reads is
 * refused at the end.
 */
public final class Section {
    private static final Pattern SPAN = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s|m|h)");
    private static final Pattern BYTES = Pattern.compile("(\\d+)(B|KB|MB)");

    private final String file;
    private final LineIndex lines;
    private final String path;
    private final Map<String, Object> values;
    private final TreeSet<String> read = new TreeSet<>();
    private final List<Section> inner = new ArrayList<>();

    Section(String file, LineIndex lines, String path, Map<String, Object> values) {
        this.file = file;
        this.lines = lines;
        this.path = path;
        this.values = values;
    }

    private String path(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    public InvalidFileException wrong(String field, String what) {
        String full = field.isEmpty() ? path : path(field);
        return new InvalidFileException(file, lines.of(full), full, what);
    }

    private Object take(String field) {
        read.add(field);
        return values.get(field);
    }

    public boolean has(String field) {
        return values.get(field) != null;
    }

    public String text(String field, String otherwise) throws InvalidFileException {
        Object value = take(field);
        if (value == null && otherwise != null) {
            return otherwise;
        } else if (value == null) {
            throw wrong(field, "is missing");
        } else if (!(value instanceof String) || ((String) value).isEmpty()) {
            throw wrong(field, "must be text, not " + value);
        }
        return (String) value;
    }

    /** A list of texts, each once; empty where the field is not there. */
    public Set<String> texts(String field, int longest) throws InvalidFileException {
        Object value = take(field);
        if (value != null && !(value instanceof List<?>)) {
            throw wrong(field, "must be a list of texts, not " + value);
        }
        Set<String> found = new LinkedHashSet<>();
        for (Object each : value == null ? List.of() : (List<?>) value) {
            if (!(each instanceof String text) || text.isEmpty() || text.length() > longest) {
                throw wrong(
                        field, "must list texts of 1 to " + longest + " characters, not " + each);
            } else if (!found.add(text)) {
                throw wrong(field, "names '" + text + "' twice");
            }
        }
        return found;
    }

    /** One of a few words. */
    public String word(String field, String otherwise, String... allowed)
            throws InvalidFileException {
        String value = text(field, otherwise);
        if (!List.of(allowed).contains(value)) {
            throw wrong(
                    field,
                    "must be one of " + String.join(", ", allowed) + ", not '" + value + "'");
        }
        return value;
    }

    public double number(String field, Double otherwise, double least, double most)
            throws InvalidFileException {
        Object value = take(field);
        if (value == null && otherwise != null) {
            return otherwise;
        } else if (!(value instanceof Number)) {
            throw wrong(field, value == null ? "is missing" : "must be a number, not " + value);
        }
        double number = ((Number) value).doubleValue();
        if (!(number >= least && number <= most)) {
            throw wrong(
                    field,
                    "must be from "
                            + plain(least)
                            + " to "
                            + plain(most)
                            + ", not "
                            + plain(number));
        }
        return number;
    }

    public int whole(String field, Integer otherwise, int least, int most)
            throws InvalidFileException {
        double number =
                number(field, otherwise == null ? null : otherwise.doubleValue(), least, most);
        if (number != Math.rint(number)) {
            throw wrong(field, "must be a whole number, not " + number);
        }
        return (int) number;
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    public boolean flag(String field, boolean otherwise) throws InvalidFileException {
        Object value = take(field);
        if (value != null && !(value instanceof Boolean)) {
            throw wrong(field, "must be true or false, not " + value);
        }
        return value == null ? otherwise : (Boolean) value;
    }

    /** A span such as 200ms or 5s, in tenths of a ms. */
    public long span(String field, String otherwise, long leastMs, long mostMs)
            throws InvalidFileException {
        String value = text(field, otherwise);
        Matcher parts = SPAN.matcher(value);
        if (!parts.matches()) {
            throw wrong(
                    field,
                    "must be a span with its unit, such as 200ms or 5s, not '" + value + "'");
        }
        double ms =
                Double.parseDouble(parts.group(1))
                        * switch (parts.group(2)) {
                            case "ms" -> 1;
                            case "s" -> 1_000;
                            case "m" -> 60_000;
                            default -> 3_600_000;
                        };
        if (ms < leastMs || ms > mostMs) {
            throw wrong(field, "must be from " + leastMs + "ms to " + mostMs + "ms, not " + value);
        }
        return Math.round(ms * 10);
    }

    /** A size such as 4MB, in bytes. */
    public long bytes(String field, String otherwise, long least, long most)
            throws InvalidFileException {
        String value = text(field, otherwise);
        Matcher parts = BYTES.matcher(value);
        if (!parts.matches()) {
            throw wrong(
                    field,
                    "must be a size with its unit, such as 512KB or 4MB, not '" + value + "'");
        }
        long size =
                Long.parseLong(parts.group(1))
                        << switch (parts.group(2)) {
                            case "B" -> 0;
                            case "KB" -> 10;
                            default -> 20;
                        };
        if (size < least || size > most) {
            throw wrong(field, "must be from " + least + " to " + most + " bytes, not " + value);
        }
        return size;
    }

    public InetSocketAddress address(String field, String otherwise) throws InvalidFileException {
        String value = text(field, otherwise);
        try {
            return socket(value);
        } catch (IllegalArgumentException wrong) {
            throw wrong(field, "must be " + wrong.getMessage());
        }
    }

    /** An address told as HOST:PORT. */
    public static InetSocketAddress socket(String text) {
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new InetSocketAddress(
                        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException wrong) {
            // Told below, in words that fit both.
        }
        throw new IllegalArgumentException("an address with its port, not '" + text + "'");
    }

    /** A block within; null if it is not there. */
    public Section block(String field) throws InvalidFileException {
        Object value = take(field);
        return value == null ? null : section(field, value);
    }

    /** Labelled blocks within, in their order. */
    public Map<String, Section> blocks(String field) throws InvalidFileException {
        Map<String, Section> found = new LinkedHashMap<>();
        Object value = take(field);
        if (value instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                found.put(
                        entry.getKey().toString(),
                        section(field + "." + entry.getKey(), entry.getValue()));
            }
        } else if (value != null) {
            throw wrong(field, "must be blocks with a label");
        }
        return found;
    }

    private Section section(String field, Object value) throws InvalidFileException {
        if (!(value instanceof Map<?, ?> map)) {
            throw wrong(field, "must be a block");
        }
        Map<String, Object> plain = new LinkedHashMap<>();
        map.forEach((key, each) -> plain.put(key.toString(), each));
        Section section = new Section(file, lines, path(field), plain);
        inner.add(section);
        return section;
    }

    /** Refuses whatever nobody asked for: a field that is misspelt must not go unnoticed. */
    public void end() throws InvalidFileException {
        for (String field : values.keySet()) {
            if (!read.contains(field)) {
                throw wrong(field, "is not known here");
            }
        }
        for (Section section : inner) {
            section.end();
        }
    }
}
