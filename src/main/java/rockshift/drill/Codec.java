package rockshift.drill;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rockshift.Listed;

/** The simulator's lines: their parts, its units and its names turned into ours. */
final class Codec {
    /** A line that is not what the wire promises; the message names it and what was expected. */
    static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Malformed(String line, String expected) {
            super("malformed line '" + line + "': expected " + expected);
        }
    }

    private static final int MICROS_PER_TENTH = 100;

    /** Names at start: theirs to ours. Names that end in _us hold microseconds and become tenths. */
    private static final Map<String, String> NAMES = new HashMap<>();
    private static final Map<String, String> CLASS_NAMES = new HashMap<>();
    private static final Map<String, String> WORDS = Map.of(
            "retryable", "anywhere", "dedup", "remembered", "fragile", "never",
            "fraction", "share", "per_second", "rate");

    static {
        String[] names = {
            "n_instances", "governors", "my_number", "governor", "my_zone", "zone", "dcs", "zones",
            "classes.count", "classes", "report.names", "load.values", "ceilings.probing", "probing",
            "ceilings.peers", "fellows", "ceilings.idle_close_us", "idle.close",
            "domain.admission", "admission", "domain.backlog", "channel.limit",
            "domain.channel_rate", "channel.pace", "domain.fixed_cost", "message.head",
            "domain.update_cap", "messages.limit", "domain.update_window_us", "messages.span",
            "domain.late_us", "transit", "domain.worst_transit_us", "transit.longest",
            "domain.cycle_us", "report.period", "domain.hears_per_s", "report.pace",
            "domain.blackhole_us", "bare.limit", "domain.proxy_count", "proxies", "domain.slices", "slices",
            "domain.try_factor", "again.wait", "domain.ejects", "proxy.patience",
            "domain.lb_method", "proxy.pick", "discovery", "list.feed", "domain.push_price", "price.orders",
            "prices.cross_zone", "price.crossing", "goal.worst_class", "goal.worst.class",
            "invariants.drain_grace_us", "drain.grace", "invariants.start_capacity", "cold.share",
            "invariants.warm_after_us", "warm.after", "invariants.fall_multiple", "fall.multiple",
            "invariants.fall_us", "fall.span"};
        for (int i = 0; i < names.length; i += 2) {
            NAMES.put(names[i], names[i + 1]);
        }
        String[] ofClass = {
            "name", "name", "aim_us", "promised.time", "hard_limit_us", "time.limit", "worth", "benefit",
            "late_worth", "late.benefit", "semantics", "repeat", "group", "memory.group",
            "memory_span_us", "memory.span"};
        for (int i = 0; i < ofClass.length; i += 2) {
            CLASS_NAMES.put(ofClass[i], ofClass[i + 1]);
        }
    }

    private final String line;
    private final String[] parts;
    private int next = 1;

    Codec(String line) {
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

    Listed row() {
        long replica = whole("a replica");
        String zone = text("a zone");
        String kind = text("a kind");
        text("a cell");
        Listed.Health health = switch (text("a health")) {
            case "Ready" -> Listed.Health.READY;
            case "Terminating" -> Listed.Health.DRAINING;
            case "Gone" -> Listed.Health.GONE;
            default -> throw new Malformed(line, "Ready, Terminating or Gone");
        };
        number("a size");
        long started = next < parts.length ? tenths("the last start") : 0;
        return new Listed(replica, zone, kind, health, started);
    }

    /** The settings that are left on the line, under our names; unknown ones are passed over. */
    Map<String, String> settings() {
        Map<String, String> ours = new TreeMap<>();
        while (next < parts.length) {
            String pair = parts[next++];
            int cut = pair.indexOf('=');
            if (cut < 0) {
                continue;
            }
            String path = pair.substring(0, cut);
            String value = pair.substring(cut + 1);
            if (path.equals("domain.class_own_zone") && !value.isEmpty()) {
                String[] flags = value.split(",");
                for (int k = 0; k < flags.length; k++) {
                    ours.put("class." + k + ".own.zone", flags[k]);
                }
                continue;
            }
            String name = NAMES.get(path);
            if (name == null && path.startsWith("classes.")) {
                String[] steps = path.split("\\.", 3);
                String last = steps.length == 3 ? CLASS_NAMES.get(steps[2]) : null;
                name = last == null ? null : "class." + steps[1] + "." + last;
            }
            if (name != null) {
                ours.put(name, path.endsWith("_us") ? inTenths(value) : WORDS.getOrDefault(value, value));
            }
        }
        return ours;
    }

    private String inTenths(String micros) {
        try {
            return Long.toString((long) (Double.parseDouble(micros) / MICROS_PER_TENTH));
        } catch (NumberFormatException wrong) {
            throw new Malformed(line, "a time in microseconds, not '" + micros + "'");
        }
    }

    static long micros(long tenths) {
        return tenths * MICROS_PER_TENTH;
    }

    static String hex(byte[] bytes) {
        return bytes.length == 0 ? "-" : java.util.HexFormat.of().formatHex(bytes);
    }

    static List<Listed> rows(int count, LineSource lines) throws java.io.IOException {
        List<Listed> rows = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            Codec row = new Codec(lines.next("a ROW"));
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
