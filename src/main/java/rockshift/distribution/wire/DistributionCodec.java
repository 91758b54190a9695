package rockshift.distribution.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import rockshift.distribution.DistributionMessage;
import rockshift.distribution.Item;
import rockshift.distribution.Limits;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Summary;
import rockshift.distribution.Update;
import rockshift.wire.CborReader;
import rockshift.wire.CborWriter;

/**
 * Encoding of the distribution messages: one CBOR array each, starting with the kind, as described
 * in docs/raft.md. Decoding is strict: a missing, additional, wrongly typed or out-of-range field
 * is an error that names the field.
 */
public final class DistributionCodec {
    private static final Limits.Sizes SIZES = Limits.standard().sizes();

    /** Maximum length of an item's key, in characters. */
    private static final int MAX_KEY_LENGTH = 512;

    /**
     * Maximum length of the detail of a rejection or notice, in characters; longer ones are
     * truncated.
     */
    private static final int MAX_DETAIL_LENGTH = 500;

    /** The message kinds, in the order of their numbers on the wire. */
    private enum Kind {
        SUBSCRIBE,
        ACKNOWLEDGE,
        SNAPSHOT_PART,
        DIFFERENCE,
        HEARTBEAT,
        NOTICE,
        REJECTED
    }

    private DistributionCodec() {}

    /** Encodes a message; a detail that is too long is truncated. */
    public static byte[] write(DistributionMessage message) throws IOException {
        CborWriter out = new CborWriter();
        out.startArray();
        if (message instanceof DistributionMessage.Subscribe subscribe) {
            write(out, subscribe);
        } else if (message instanceof DistributionMessage.Acknowledge acknowledge) {
            write(out, acknowledge);
        } else if (message instanceof DistributionMessage.SnapshotPart part) {
            write(out, part);
        } else if (message instanceof DistributionMessage.Difference difference) {
            write(out, difference);
        } else if (message instanceof DistributionMessage.Heartbeat heartbeat) {
            write(out, heartbeat);
        } else if (message instanceof DistributionMessage.Notice notice) {
            writeHeader(out, Kind.NOTICE, notice)
                    .text(notice.reason().code())
                    .text(truncated(notice.detail()));
        } else if (message instanceof DistributionMessage.Rejected rejected) {
            writeHeader(out, Kind.REJECTED, rejected)
                    .text(rejected.reason().code())
                    .text(truncated(rejected.detail()))
                    .add(rejected.retryAfterMillis());
        }
        out.endArray();
        return out.end();
    }

    private static CborWriter writeHeader(CborWriter out, Kind kind, DistributionMessage message)
            throws IOException {
        return out.add(kind.ordinal(), message.scopeEpoch());
    }

    private static String truncated(String detail) {
        return detail.length() <= MAX_DETAIL_LENGTH
                ? detail
                : detail.substring(0, MAX_DETAIL_LENGTH);
    }

    private static void write(CborWriter out, DistributionMessage.Subscribe message)
            throws IOException {
        writeHeader(out, Kind.SUBSCRIBE, message).text(message.subscriber());
        write(out, message.scope());
        write(out, message.held());
        out.add(message.sentMillis());
    }

    private static void write(CborWriter out, DistributionMessage.Acknowledge message)
            throws IOException {
        writeHeader(out, Kind.ACKNOWLEDGE, message);
        write(out, message.inForce());
        Summary summary = message.summary();
        out.add(
                message.snapshotParts(),
                summary.lowestRevision(),
                summary.subscribers(),
                summary.behind(),
                summary.unreachable(),
                summary.fingerprint(),
                message.sentMillis());
    }

    private static void write(CborWriter out, DistributionMessage.SnapshotPart message)
            throws IOException {
        writeHeader(out, Kind.SNAPSHOT_PART, message);
        write(out, message.revision());
        out.add(message.part(), message.parts(), message.digest(), message.items().size());
        for (Item item : message.items()) {
            write(out, item);
        }
    }

    private static void write(CborWriter out, DistributionMessage.Difference message)
            throws IOException {
        writeHeader(out, Kind.DIFFERENCE, message);
        write(out, message.from());
        write(out, message.to());
        out.add(message.digest(), message.updates().size());
        for (Update update : message.updates()) {
            out.add(update.revision()).bool(update.deleted());
            write(out, update.item());
        }
    }

    private static void write(CborWriter out, DistributionMessage.Heartbeat message)
            throws IOException {
        writeHeader(out, Kind.HEARTBEAT, message);
        write(out, message.current());
        out.add(message.digest(), message.staleMillis(), message.echoMillis());
    }

    private static void write(CborWriter out, Revision revision) throws IOException {
        out.add(revision.cluster(), revision.number());
    }

    private static void write(CborWriter out, Scope scope) throws IOException {
        out.bool(scope.everything());
        write(out, scope.services());
        write(out, scope.zones());
    }

    private static void write(CborWriter out, SortedSet<String> names) throws IOException {
        out.add(names.size());
        for (String name : names) {
            out.text(name);
        }
    }

    private static void write(CborWriter out, Item item) throws IOException {
        out.text(item.key()).text(item.service()).text(item.zone()).binary(item.value());
    }

    /**
     * Decodes a message.
     *
     * @throws IOException if a field is invalid; the message names it
     */
    public static DistributionMessage read(byte[] bytes) throws IOException {
        CborReader in = new CborReader(bytes, 0, bytes.length);
        in.field("message").startArray();
        Kind kind = in.field("kind").enumConstant(Kind.values());
        long epoch = in.field("scopeEpoch").number(0, Long.MAX_VALUE);
        DistributionMessage message = readFields(in, kind, epoch);
        in.field("message").end();
        return message;
    }

    private static DistributionMessage readFields(CborReader in, Kind kind, long epoch)
            throws IOException {
        return switch (kind) {
            case SUBSCRIBE -> readSubscribe(in, epoch);
            case ACKNOWLEDGE -> readAcknowledge(in, epoch);
            case SNAPSHOT_PART -> readSnapshotPart(in, epoch);
            case DIFFERENCE -> readDifference(in, epoch);
            case HEARTBEAT -> readHeartbeat(in, epoch);
            case NOTICE -> new DistributionMessage.Notice(epoch, readReason(in), readDetail(in));
            case REJECTED ->
                    new DistributionMessage.Rejected(
                            epoch,
                            readReason(in),
                            readDetail(in),
                            readCount(in, "retryAfterMillis"));
        };
    }

    private static DistributionMessage readSubscribe(CborReader in, long epoch) throws IOException {
        return new DistributionMessage.Subscribe(
                in.field("subscriber").text(SIZES.maxNameLength()),
                epoch,
                readScope(in),
                readRevision(in, "held"),
                in.field("sentMillis").number());
    }

    private static DistributionMessage readDifference(CborReader in, long epoch)
            throws IOException {
        return new DistributionMessage.Difference(
                epoch,
                readRevision(in, "from"),
                readRevision(in, "to"),
                in.field("digest").number(),
                readUpdates(in));
    }

    private static DistributionMessage readHeartbeat(CborReader in, long epoch) throws IOException {
        return new DistributionMessage.Heartbeat(
                epoch,
                readRevision(in, "current"),
                in.field("digest").number(),
                readCount(in, "staleMillis"),
                in.field("echoMillis").number());
    }

    private static String readDetail(CborReader in) throws IOException {
        return in.field("place").text(MAX_DETAIL_LENGTH);
    }

    private static long readCount(CborReader in, String field) throws IOException {
        return in.field(field).number(0, Long.MAX_VALUE);
    }

    private static int readIntCount(CborReader in, String field) throws IOException {
        return in.field(field).unsignedInt(Integer.MAX_VALUE);
    }

    private static DistributionMessage readAcknowledge(CborReader in, long epoch)
            throws IOException {
        Revision inForce = readRevision(in, "inForce");
        int snapshotParts = readIntCount(in, "snapshotParts");
        Summary summary =
                new Summary(
                        readCount(in, "summary.lowestRevision"),
                        readIntCount(in, "summary.subscribers"),
                        readIntCount(in, "summary.behind"),
                        readIntCount(in, "summary.unreachable"),
                        in.field("summary.fingerprint").number());
        return new DistributionMessage.Acknowledge(
                epoch, inForce, snapshotParts, summary, in.field("sentMillis").number());
    }

    private static DistributionMessage readSnapshotPart(CborReader in, long epoch)
            throws IOException {
        Revision revision = readRevision(in, "revision");
        int part = readIntCount(in, "part");
        int parts = readIntCount(in, "parts");
        long digest = in.field("digest").number();
        List<Item> items = new ArrayList<>();
        for (int remaining = in.field("items").unsignedInt(SIZES.maxPartItems());
                remaining > 0;
                remaining--) {
            items.add(readItem(in, "items"));
        }
        return new DistributionMessage.SnapshotPart(epoch, revision, part, parts, digest, items);
    }

    private static List<Update> readUpdates(CborReader in) throws IOException {
        List<Update> updates = new ArrayList<>();
        for (int remaining = in.field("updates").unsignedInt(SIZES.maxDifferenceUpdates());
                remaining > 0;
                remaining--) {
            long revision = readCount(in, "updates.revision");
            boolean deleted = in.field("updates.deleted").bool();
            updates.add(new Update(revision, readItem(in, "updates"), deleted));
        }
        return updates;
    }

    private static Item readItem(CborReader in, String list) throws IOException {
        return new Item(
                in.field(list + ".key").text(MAX_KEY_LENGTH),
                in.field(list + ".service").text(SIZES.maxNameLength()),
                in.field(list + ".zone").text(SIZES.maxNameLength()),
                in.field(list + ".value").bytes(SIZES.maxItemBytes()));
    }

    private static Revision readRevision(CborReader in, String field) throws IOException {
        return new Revision(
                in.field(field + ".cluster").number(), readCount(in, field + ".number"));
    }

    private static Scope readScope(CborReader in) throws IOException {
        boolean everything = in.field("scope.everything").bool();
        return new Scope(everything, readNames(in, "scope.services"), readNames(in, "scope.zones"));
    }

    private static SortedSet<String> readNames(CborReader in, String field) throws IOException {
        SortedSet<String> names = new TreeSet<>();
        for (int remaining = in.field(field).unsignedInt(SIZES.maxScopeNames());
                remaining > 0;
                remaining--) {
            String name = in.text(SIZES.maxNameLength());
            if (!names.isEmpty() && names.last().compareTo(name) >= 0) {
                throw in.invalid("names that are not in strictly ascending order");
            }
            names.add(name);
        }
        return names;
    }

    private static RejectionReason readReason(CborReader in) throws IOException {
        String code = in.field("reason").text(MAX_DETAIL_LENGTH);
        RejectionReason reason = RejectionReason.byCode(code);
        if (reason == null) {
            throw in.invalid("unknown reason code '" + code + "'");
        }
        return reason;
    }
}
