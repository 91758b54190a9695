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
 * One part of an update, encoded except for its array header. All proxies that are sent the same
 * part share its bytes. Immutable.
 */
final class UpdatePart {
    private final int stringCount;
    private final byte[] encoded;

    private UpdatePart(List<String> strings) {
        stringCount = strings.size();
        encoded = RespCodec.bulkStrings(strings);
    }

    /** Writes the part, with further strings at its end. */
    void write(List<String> trailer, ByteArrayOutputStream into) {
        into.writeBytes(RespCodec.arrayHeader(stringCount + trailer.size()));
        into.writeBytes(encoded);
        into.writeBytes(RespCodec.bulkStrings(trailer));
    }

    /** Collects the fields of a part. */
    static final class Builder {
        private final List<String> strings = new ArrayList<>(List.of(RespCodec.UPDATE));

        /** Starts a part that applies to some classes. */
        Builder(ClassNames classNames, ClassSet classes) {
            if (!classes.isAll()) {
                strings.addAll(List.of(RespCodec.CLASSES, classNames.joined(classes)));
            }
        }

        /** Adds a table's entries: all of them if {@code whole}, otherwise the changed ones. */
        Builder entries(boolean whole, Map<Long, Double> weights, Map<Long, String> names) {
            if (whole) {
                strings.addAll(List.of(RespCodec.WHOLE_TABLE, "1"));
            }
            StringJoiner list = new StringJoiner(",");
            weights.forEach(
                    (replica, weight) -> list.add(names.get(replica) + ":" + decimal(weight)));
            strings.addAll(List.of(RespCodec.ENTRIES, list.toString()));
            return this;
        }

        Builder admissionLevel(double level, int retryMode) {
            strings.addAll(List.of(RespCodec.ADMISSION_LEVEL, decimal(level)));
            strings.addAll(List.of(RespCodec.RETRY_MODE, Integer.toString(retryMode)));
            return this;
        }

        UpdatePart build() {
            return new UpdatePart(strings);
        }

        /** Formats a number without an exponent, which the protocol does not allow. */
        private static String decimal(double number) {
            return BigDecimal.valueOf(number).toPlainString();
        }
    }
}
