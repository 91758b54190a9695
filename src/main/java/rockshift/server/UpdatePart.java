package rockshift.server;

import java.io.ByteArrayOutputStream;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import rockshift.model.ClassSet;
import rockshift.settings.ClassNames;

/**
 * One part of an update, in the words of the protocol. It is encoded once but for the number of its
 * words, so that all proxies that are told the same can share it.
 */
final class UpdatePart {
    private final int words;
    private final byte[] encoded;

    private UpdatePart(List<String> words) {
        this.words = words.size();
        encoded = RespCodec.strings(words);
    }

    /** Writes the part with further words at its end. */
    void write(List<String> further, ByteArrayOutputStream into) {
        into.writeBytes(RespCodec.head(words + further.size()));
        into.writeBytes(encoded);
        into.writeBytes(RespCodec.strings(further));
    }

    /** Puts the words of a part together. */
    static final class Builder {
        private final List<String> words = new ArrayList<>(List.of(RespCodec.UPDATE));

        /** A part that is meant for some classes. */
        Builder(ClassNames classNames, ClassSet classes) {
            if (!classes.isAll()) {
                words.addAll(List.of(RespCodec.CLASSES, classNames.joined(classes)));
            }
        }

        /** Tells a table's lines: all that it has, or those that changed. */
        Builder lines(boolean whole, Map<Long, Double> lines, Map<Long, String> names) {
            if (whole) {
                words.addAll(List.of(RespCodec.WHOLE, "1"));
            }
            StringJoiner list = new StringJoiner(",");
            lines.forEach((replica, weight) -> list.add(names.get(replica) + ":" + plain(weight)));
            words.addAll(List.of(RespCodec.LINES, list.toString()));
            return this;
        }

        Builder level(double level, int again) {
            words.addAll(
                    List.of(
                            RespCodec.LEVEL,
                            plain(level),
                            RespCodec.AGAIN,
                            Integer.toString(again)));
            return this;
        }

        UpdatePart build() {
            return new UpdatePart(words);
        }

        private static String plain(double number) {
            return BigDecimal.valueOf(number).toPlainString();
        }
    }
}
