package rockshift.simulation;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rockshift.model.ClassSet;
import rockshift.model.Endpoint;
import rockshift.settings.ClassNames;
import rockshift.settings.InvalidSettingException;
import rockshift.settings.PlannerSettings;
import rockshift.settings.SettingsParser;

/** The simulator's lines: their parts, its units and its names turned into ours. */
final class SimulatorCodec {
    /** A line that is not what the wire promises; the message names it and what was expected. */
    static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Malformed(String line, String expected) {
            super("malformed line '" + line + "': expected " + expected);
        }
    }

    private static final int MICROS_PER_TENTH = 100;

    /** Tables that the wire has numbers for; the one after them stands for all proxies. */
    private static final int TABLES = 65_535;

    private final String line;
    private final String[] parts;
    private int next = 1;

    SimulatorCodec(String line) {
        this.line = line;
        this.parts = line.split(" ");
    }

    String name() {
        return parts[0];
    }

    String text(String expected) {
        if (next >= parts.length) {
            throw new Malformed(line, expected);
        }
        return parts[next++];
    }

    long whole(String expected) {
        String part = text(expected);
        try {
            return part.equals("-") ? 0 : Long.parseLong(part);
        } catch (NumberFormatException wrong) {
            throw new Malformed(line, expected + " as a whole number, not '" + part + "'");
        }
    }

    int small(String expected) {
        long value = whole(expected);
        if (value != (int) value) {
            throw new Malformed(line, expected + " as a small number");
        }
        return (int) value;
    }

    double number(String expected) {
        String part = text(expected);
        try {
            return part.equals("-") ? 0 : Double.parseDouble(part);
        } catch (NumberFormatException wrong) {
            throw new Malformed(line, expected + " as a number, not '" + part + "'");
        }
    }

    boolean flag(String expected) {
        return whole(expected) != 0;
    }

    /** A time or span, from microseconds to tenths of a millisecond; the clock rounds down. */
    long tenths(String expected) {
        return Math.floorDiv(whole(expected), MICROS_PER_TENTH);
    }

    Map<String, Double> load(String expected) {
        Map<String, Double> load = new TreeMap<>();
        if (next >= parts.length) {
            return load;
        }
        String part = text(expected);
        if (part.equals("-") || part.isEmpty()) {
            return load;
        }
        for (String pair : part.split(",")) {
            int colon = pair.indexOf(':');
            try {
                load.put(pair.substring(0, colon), Double.parseDouble(pair.substring(colon + 1)));
            } catch (RuntimeException wrong) {
                throw new Malformed(line, expected + " as name:value pairs");
            }
        }
        return load;
    }

    Endpoint row() {
        long replica = whole("a replica");
        String zone = text("a zone");
        String kind = text("a kind");
        text("a cell");
        Endpoint.Health health = Endpoint.Health.fromWireName(text("a health"));
        if (health == null) {
            throw new Malformed(line, "Ready, Terminating or Gone");
        }
        number("a size");
        long started = next < parts.length ? tenths("the last start") : 0;
        return new Endpoint(replica, zone, kind, health, started);
    }

    /** The settings of an instance fill the rest of the line. */
    PlannerSettings settings() {
        SettingsParser parser = new SettingsParser();
        try {
            while (next < parts.length) {
                String pair = parts[next++];
                int cut = pair.indexOf('=');
                if (cut >= 0) {
                    parser.put(pair.substring(0, cut), pair.substring(cut + 1));
                }
            }
            return parser.build();
        } catch (ClassNames.InvalidNameException invalid) {
            throw new Malformed(
                    line, "class names of which " + invalid.field() + " " + invalid.reason());
        } catch (InvalidSettingException invalid) {
            throw new Malformed(line, invalid.getMessage());
        }
    }

    /**
     * A set of classes as the wire has it: the sum of two to the power of each number, or 0 for
     * all.
     */
    static BigInteger mask(ClassSet classes) {
        if (classes.isEmpty()) {
            throw new IllegalStateException("no classes: the wire would take them for all");
        }
        return classes.isAll()
                ? BigInteger.ZERO
                : classes.numbers()
                        .mapToObj(BigInteger.ONE::shiftLeft)
                        .reduce(BigInteger.ZERO, BigInteger::or);
    }

    /** The number of a table, where the wire has room for it. */
    static int table(int number) {
        if (number >= TABLES) {
            throw new IllegalStateException(
                    "table " + number + ": the wire has " + TABLES + " tables");
        }
        return number;
    }

    static long micros(long tenths) {
        return tenths * MICROS_PER_TENTH;
    }

    static List<Endpoint> rows(int count, LineSource lines) throws java.io.IOException {
        List<Endpoint> rows = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            SimulatorCodec row = new SimulatorCodec(lines.next("a ROW"));
            if (!row.name().equals("ROW")) {
                throw new Malformed(row.line, "a ROW");
            }
            rows.add(row.row());
        }
        return rows;
    }

    /** Where lines come from; the end of input is an error where one is still expected. */
    interface LineSource {
        String next(String expected) throws java.io.IOException;
    }
}
