package rockshift.server;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * The codec of the streams: RESP2 arrays of bulk strings, put together from bytes that come in
 * pieces, and the words in them. It owns the bytes of one connection's unfinished message and
 * nothing else. It must never wait, never keep more than one message may hold, and never act on
 * what a message says.
 */
public final class RespCodec {
    /** Bytes: the longest message that the protocol allows. */
    static final int LONGEST = 1 << 20;

    /** Bytes kept for each connection while it is quiet; most messages fit. */
    static final int USUAL = 1 << 11;

    /**
     * The largest figure that is taken: no rate, time in ms or count comes near, and no sum
     * overflows.
     */
    private static final double LARGEST = 1e9;

    /** Starts and ends kept for each connection: twice the strings of the longest usual message. */
    private static final int FEW = 64;

    /** Digits of the longest count or length; more are no number that a message could hold. */
    private static final int DIGITS = 7;

    // Kinds of messages.
    static final String PING = "ping";
    static final String PONG = "pong";
    static final String COLLECTOR = "collector";
    static final String JOINED = "joined";
    static final String HEARD = "heard";
    static final String USAGE = "usage";
    static final String APPLIED = "applied";
    static final String UPDATE = "update";
    // Names of what comes.
    static final String PROXY = "sidecar";
    static final String ZONE = "az";
    static final String USUAL_RATE = "share";
    static final String REPLICA = "host";
    static final String COUNT = "n";
    static final String FAILED = "bad";
    static final String MEAN_TIME = "avg";
    static final String SPAN = "window";
    static final String LOAD = "report";
    static final String BUSY = "util";
    static final String CLASS = "kind";
    static final String SERIAL = "version";
    static final String DELAY = "lag_ms";
    // Names of what goes.
    static final String CLASSES = "classes";
    static final String WHOLE = "whole";
    static final String LINES = "lines";
    static final String LEVEL = "level";
    static final String AGAIN = "retry";
    static final String OUT = "out";
    static final String BACK = "back";
    static final String MARK = "ticket";
    static final String MORE = "more";

    /**
     * Bytes that are no message: nothing after them can be read either. The code names the reason.
     */
    public static final class Broken extends Exception {
        private static final long serialVersionUID = 1L;
        final String code;

        Broken(String code, String what) {
            super(what);
            this.code = code;
        }
    }

    /**
     * A message that can be read and not be used; the next one may be good. It keeps no trace: many
     * may come.
     */
    public static final class Spoilt extends Exception {
        private static final long serialVersionUID = 1L;
        final String code;

        Spoilt(String code, String what) {
            super(what, null, false, false);
            this.code = code;
        }
    }

    private byte[] bytes = new byte[USUAL];
    private int end;

    /** Where the message begins, and how far it was read. */
    private int begin;

    private int at;

    /**
     * Strings that the message has, or -1 before that is known; the length of the next one, or -1.
     */
    private int strings = -1;

    private int length = -1;

    /** Start and end of each string read. */
    private int[] cuts = new int[FEW];

    private int read;

    /** Takes over bytes that came. */
    public void feed(ByteBuffer came) {
        if (begin > 0 && end + came.remaining() > bytes.length) {
            compact();
        }
        if (end + came.remaining() > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, end + came.remaining()));
        }
        int count = came.remaining();
        came.get(bytes, end, count);
        end += count;
    }

    private void compact() {
        System.arraycopy(bytes, begin, bytes, 0, end - begin);
        for (int i = 0; i < 2 * read; i++) {
            cuts[i] -= begin;
        }
        at -= begin;
        end -= begin;
        begin = 0;
    }

    /** Bytes held, used or not. */
    int held() {
        return bytes.length + Integer.BYTES * (cuts.length - FEW);
    }

    /** Whether one more whole message was read; its strings are valid until the next call. */
    public boolean next() throws Broken {
        if (strings >= 0 && read == strings) {
            begin = at;
            read = 0;
            strings = -1;
        }
        if (begin == end && begin > 0) {
            begin = end = at = 0;
            bytes = bytes.length > USUAL ? new byte[USUAL] : bytes;
            cuts = cuts.length > FEW ? new int[FEW] : cuts;
        }
        if (strings < 0) {
            strings = number('*');
            if (strings == 0) {
                throw new Broken("malformed", "a message without a kind");
            }
        }
        while (strings > 0 && read < strings && text()) {
            continue;
        }
        if (end - begin > LONGEST && read != strings || at - begin > LONGEST) {
            throw new Broken("too-long", "a message of over " + LONGEST + " bytes");
        }
        return strings > 0 && read == strings;
    }

    private boolean text() throws Broken {
        if (length < 0) {
            length = number('$');
            if (length > LONGEST) {
                throw new Broken("too-long", "a string of " + length + " bytes");
            }
        }
        if (length < 0 || end - at < length + 2) {
            return false;
        }
        if (bytes[at + length] != '\r' || bytes[at + length + 1] != '\n') {
            throw new Broken("malformed", "a string that ends where its length says");
        }
        if (2 * read + 2 > cuts.length) {
            cuts = Arrays.copyOf(cuts, 2 * cuts.length);
        }
        cuts[2 * read] = at;
        cuts[2 * read + 1] = at + length;
        read++;
        at += length + 2;
        length = -1;
        return true;
    }

    /** A count or length with its sign, or -1 while it is not all there. */
    private int number(char sign) throws Broken {
        int value = 0;
        for (int i = at; i < end; i++) {
            byte b = bytes[i];
            if (i == at) {
                if (b != sign) {
                    throw new Broken("malformed", "an array of bulk strings");
                }
            } else if (b >= '0' && b <= '9' && i <= at + DIGITS) {
                value = value * 10 + b - '0';
            } else if (b != '\r' || i == at + 1) {
                throw new Broken("malformed", "a count or length");
            } else if (i + 1 < end) {
                if (bytes[i + 1] != '\n') {
                    throw new Broken("malformed", "a count or length and an end of line");
                }
                at = i + 2;
                return value;
            } else {
                return -1;
            }
        }
        return -1;
    }

    private String string(int i) {
        return new String(
                bytes, cuts[2 * i], cuts[2 * i + 1] - cuts[2 * i], StandardCharsets.UTF_8);
    }

    public String kind() {
        return string(0);
    }

    /** Whether each name has a value. */
    void complete() throws Spoilt {
        if (strings % 2 == 0) {
            throw new Spoilt("bad-field", kind() + " with a name that has no value");
        }
    }

    /** A field's value, or null where the message has none. */
    private String find(String name) {
        for (int i = 1; i + 1 < strings; i += 2) {
            if (is(i, name)) {
                return string(i + 1);
            }
        }
        return null;
    }

    /** Compares in place: a message may bring very many names. */
    private boolean is(int i, String name) {
        boolean same = cuts[2 * i + 1] - cuts[2 * i] == name.length();
        for (int k = 0; same && k < name.length(); k++) {
            same = bytes[cuts[2 * i] + k] == name.charAt(k);
        }
        return same;
    }

    public boolean has(String name) {
        return find(name) != null;
    }

    public String text(String name) throws Spoilt {
        String value = find(name);
        if (value == null) {
            throw new Spoilt("bad-field", kind() + " without " + name);
        }
        return value;
    }

    /** A number that is neither below 0 nor beyond all use. */
    double number(String name) throws Spoilt {
        return amount(name, text(name));
    }

    int whole(String name) throws Spoilt {
        double value = number(name);
        if (value != (int) value) {
            throw new Spoilt("bad-field", name + " as a whole number, not " + value);
        }
        return (int) value;
    }

    /** One value of a list of pairs, or null where the message or the list has none. */
    Double paired(String name, String key) throws Spoilt {
        String list = find(name);
        if (list == null) {
            return null;
        }
        for (String pair : list.split(",")) {
            if (pair.startsWith(key + ":")) {
                return amount(key, pair.substring(key.length() + 1));
            }
        }
        return null;
    }

    private static double amount(String name, String text) throws Spoilt {
        try {
            double value = Double.parseDouble(text);
            if (value >= 0 && value <= LARGEST) {
                return value;
            }
        } catch (NumberFormatException wrong) {
            // Told below, with what is no number that can be used.
        }
        throw new Spoilt("bad-field", name + " as a number, not '" + text + "'");
    }

    /** The bytes of one message. */
    public static byte[] message(List<String> strings) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head(strings.size()));
        out.writeBytes(strings(strings));
        return out.toByteArray();
    }

    /** The bytes that begin a message of so many strings. */
    static byte[] head(int strings) {
        return ascii("*" + strings + "\r\n");
    }

    /** The bytes of strings in a message. */
    static byte[] strings(List<String> strings) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (String string : strings) {
            byte[] text = string.getBytes(StandardCharsets.UTF_8);
            out.writeBytes(ascii("$" + text.length + "\r\n"));
            out.writeBytes(text);
            out.writeBytes(ascii("\r\n"));
        }
        return out.toByteArray();
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
