package rockshift.simulation;

import java.util.Map;
import java.util.TreeMap;
import rockshift.model.Endpoint;
import rockshift.settings.ClassNames;
import rockshift.settings.InvalidSettingException;
import rockshift.settings.PlannerSettings;
import rockshift.settings.SettingsParser;

/**
 * One line from the simulator: a name, then fields that are read from left to right. The parameter
 * {@code expected} of a read method describes the field in the message of a {@link
 * MalformedLineException}.
 */
final class SimulatorLine {
    /** The text of a field without a value. */
    private static final String ABSENT = "-";

    private final String line;
    private final String[] fields;
    private int next = 1;

    SimulatorLine(String line) {
        this.line = line;
        this.fields = line.split(" ");
    }

    String name() {
        return fields[0];
    }

    String text(String expected) {
        if (!hasNext()) {
            throw malformed(expected);
        }
        return fields[next++];
    }

    long wholeNumber(String expected) {
        String field = text(expected);
        try {
            return field.equals(ABSENT) ? 0 : Long.parseLong(field);
        } catch (NumberFormatException notWhole) {
            throw malformed(expected + " as a whole number, got '" + field + "'");
        }
    }

    int integer(String expected) {
        long value = wholeNumber(expected);
        if (value != (int) value) {
            throw malformed(expected + " as a 32-bit number, got " + value);
        }
        return (int) value;
    }

    double number(String expected) {
        String field = text(expected);
        try {
            return field.equals(ABSENT) ? 0 : Double.parseDouble(field);
        } catch (NumberFormatException notNumber) {
            throw malformed(expected + " as a number, got '" + field + "'");
        }
    }

    boolean flag(String expected) {
        return wholeNumber(expected) != 0;
    }

    /** Reads a time or period in microseconds and returns it in ticks, rounded down. */
    long ticks(String expected) {
        return SimulatorUnits.microsToTicks(wholeNumber(expected));
    }

    /** Reads metrics of a replica, by name. The map is empty if the field is absent. */
    Map<String, Double> metrics(String expected) {
        Map<String, Double> metrics = new TreeMap<>();
        String field = hasNext() ? text(expected) : ABSENT;
        if (field.equals(ABSENT) || field.isEmpty()) {
            return metrics;
        }
        for (String pair : field.split(",")) {
            int colon = pair.indexOf(':');
            try {
                metrics.put(
                        pair.substring(0, colon), Double.parseDouble(pair.substring(colon + 1)));
            } catch (NumberFormatException | IndexOutOfBoundsException notMetric) {
                throw malformed(expected + " as name:value pairs");
            }
        }
        return metrics;
    }

    /** Reads the fields of a ROW, which is one entry of an endpoint list. */
    Endpoint endpoint() {
        long replicaId = wholeNumber("a replica id");
        String zone = text("a zone");
        String machineType = text("a machine type");
        text("a cell");
        Endpoint.Health health = Endpoint.Health.fromWireName(text("a health"));
        if (health == null) {
            throw malformed("Ready, Terminating or Gone");
        }
        number("a weight");
        long startedAtTicks = hasNext() ? ticks("the time of the last start") : 0;
        return new Endpoint(replicaId, zone, machineType, health, startedAtTicks);
    }

    /** Reads the settings of a controller, which fill the rest of the line as path=value pairs. */
    PlannerSettings settings() {
        SettingsParser parser = new SettingsParser();
        try {
            while (hasNext()) {
                String pair = fields[next++];
                int equals = pair.indexOf('=');
                if (equals >= 0) {
                    parser.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
            return parser.build();
        } catch (ClassNames.InvalidNameException invalid) {
            throw malformed("valid class names: " + invalid.getMessage());
        } catch (InvalidSettingException invalid) {
            throw malformed("valid settings: " + invalid.getMessage());
        }
    }

    /** Returns an exception that quotes this line and says what was expected. */
    MalformedLineException malformed(String expected) {
        return new MalformedLineException(line, expected);
    }

    private boolean hasNext() {
        return next < fields.length;
    }
}
