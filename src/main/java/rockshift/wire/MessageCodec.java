package rockshift.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rockshift.raft.Entry;
import rockshift.raft.Membership;
import rockshift.raft.Message;

/**
 * Encodes Raft messages as CBOR arrays: kind, sender, receiver and term, then the fields of the
 * kind in the order of the record's components. Decoding accepts only what encoding produces.
 */
public final class MessageCodec {
    private static final int VOTE_REQUEST = 0;
    private static final int VOTE_RESPONSE = 1;
    private static final int APPEND_REQUEST = 2;
    private static final int APPEND_RESPONSE = 3;
    private static final int SNAPSHOT_CHUNK = 4;
    private static final int SNAPSHOT_CHUNK_RESPONSE = 5;
    private static final int TIMEOUT_NOW = 6;

    private MessageCodec() {}

    /** Returns an encoded message. */
    public static byte[] encode(Message message) throws IOException {
        CborWriter writer = new CborWriter();
        writer.startArray();
        writer.add(kind(message), message.from(), message.to(), message.term());
        writeFields(writer, message);
        writer.endArray();
        return writer.end();
    }

    private static int kind(Message message) {
        if (message instanceof Message.VoteRequest) {
            return VOTE_REQUEST;
        } else if (message instanceof Message.VoteResponse) {
            return VOTE_RESPONSE;
        } else if (message instanceof Message.AppendRequest) {
            return APPEND_REQUEST;
        } else if (message instanceof Message.AppendResponse) {
            return APPEND_RESPONSE;
        } else if (message instanceof Message.SnapshotChunk) {
            return SNAPSHOT_CHUNK;
        } else if (message instanceof Message.SnapshotChunkResponse) {
            return SNAPSHOT_CHUNK_RESPONSE;
        }
        return TIMEOUT_NOW;
    }

    private static void writeFields(CborWriter writer, Message message) throws IOException {
        if (message instanceof Message.VoteRequest request) {
            writer.add(request.lastLogIndex(), request.lastLogTerm());
            writer.bool(request.preVote(), request.leadershipTransfer());
        } else if (message instanceof Message.VoteResponse response) {
            writer.bool(response.preVote(), response.granted());
        } else if (message instanceof Message.AppendRequest request) {
            write(writer, request);
        } else if (message instanceof Message.AppendResponse response) {
            writer.bool(response.success());
            writer.add(response.matchIndex(), response.conflictTerm(), response.rejectedIndex());
            writer.add(response.round(), response.sentAtTicks(), response.followerClockTicks());
        } else if (message instanceof Message.SnapshotChunk chunk) {
            write(writer, chunk);
        } else if (message instanceof Message.SnapshotChunkResponse response) {
            writer.add(response.snapshotIndex(), response.receivedBytes());
            writer.add(response.round(), response.sentAtTicks(), response.followerClockTicks());
        }
    }

    private static void write(CborWriter writer, Message.AppendRequest request) throws IOException {
        writer.add(request.prevLogIndex(), request.prevLogTerm(), request.leaderCommitIndex());
        writer.add(request.round(), request.sentAtTicks());
        writer.add(request.entries().size());
        for (Entry entry : request.entries()) {
            StateCodec.writeEntry(writer, entry);
        }
    }

    private static void write(CborWriter writer, Message.SnapshotChunk chunk) throws IOException {
        writer.add(chunk.snapshotIndex(), chunk.snapshotTerm());
        StateCodec.writeMembership(writer, chunk.membership());
        writer.add(chunk.totalBytes(), chunk.checksum(), chunk.offset());
        writer.binary(chunk.bytes());
        writer.add(chunk.round(), chunk.sentAtTicks());
    }

    /** Decodes the message in a frame's payload. */
    public static Message decode(byte[] bytes) throws IOException {
        CborReader reader = new CborReader(bytes, 0, bytes.length);
        reader.startArray();
        int kind = reader.unsignedInt(TIMEOUT_NOW);
        long from = reader.number();
        long to = reader.number();
        long term = reader.number();
        Message message =
                switch (kind) {
                    case VOTE_REQUEST -> readVoteRequest(reader, from, to, term);
                    case VOTE_RESPONSE ->
                            new Message.VoteResponse(from, to, term, reader.bool(), reader.bool());
                    case APPEND_REQUEST -> readAppendRequest(reader, from, to, term);
                    case APPEND_RESPONSE -> readAppendResponse(reader, from, to, term);
                    case SNAPSHOT_CHUNK -> readSnapshotChunk(reader, from, to, term);
                    case SNAPSHOT_CHUNK_RESPONSE ->
                            readSnapshotChunkResponse(reader, from, to, term);
                    default -> new Message.TimeoutNow(from, to, term);
                };
        reader.end();
        return message;
    }

    private static Message readVoteRequest(CborReader reader, long from, long to, long term)
            throws IOException {
        long lastLogIndex = reader.number();
        long lastLogTerm = reader.number();
        boolean preVote = reader.bool();
        boolean leadershipTransfer = reader.bool();
        return new Message.VoteRequest(
                from, to, term, lastLogIndex, lastLogTerm, preVote, leadershipTransfer);
    }

    private static Message readAppendRequest(CborReader reader, long from, long to, long term)
            throws IOException {
        long prevLogIndex = reader.number();
        long prevLogTerm = reader.number();
        long leaderCommitIndex = reader.number();
        long round = reader.number();
        long sentAtTicks = reader.number();
        List<Entry> entries = new ArrayList<>();
        for (int count = reader.unsignedInt(Integer.MAX_VALUE); count > 0; count--) {
            entries.add(StateCodec.readEntry(reader));
        }
        return new Message.AppendRequest(
                from,
                to,
                term,
                prevLogIndex,
                prevLogTerm,
                leaderCommitIndex,
                round,
                sentAtTicks,
                entries);
    }

    private static Message readAppendResponse(CborReader reader, long from, long to, long term)
            throws IOException {
        boolean success = reader.bool();
        long matchIndex = reader.number();
        long conflictTerm = reader.number();
        long rejectedIndex = reader.number();
        long round = reader.number();
        long sentAtTicks = reader.number();
        long followerClockTicks = reader.number();
        return new Message.AppendResponse(
                from,
                to,
                term,
                success,
                matchIndex,
                conflictTerm,
                rejectedIndex,
                round,
                sentAtTicks,
                followerClockTicks);
    }

    private static Message readSnapshotChunk(CborReader reader, long from, long to, long term)
            throws IOException {
        long snapshotIndex = reader.number();
        long snapshotTerm = reader.number();
        Membership membership = StateCodec.readMembership(reader);
        int totalBytes = reader.unsignedInt(Integer.MAX_VALUE);
        int checksum = (int) reader.number();
        int offset = reader.unsignedInt(Integer.MAX_VALUE);
        byte[] bytes = reader.bytes();
        long round = reader.number();
        long sentAtTicks = reader.number();
        return new Message.SnapshotChunk(
                from,
                to,
                term,
                snapshotIndex,
                snapshotTerm,
                membership,
                totalBytes,
                checksum,
                offset,
                bytes,
                round,
                sentAtTicks);
    }

    private static Message readSnapshotChunkResponse(
            CborReader reader, long from, long to, long term) throws IOException {
        long snapshotIndex = reader.number();
        int receivedBytes = reader.unsignedInt(Integer.MAX_VALUE);
        long round = reader.number();
        long sentAtTicks = reader.number();
        long followerClockTicks = reader.number();
        return new Message.SnapshotChunkResponse(
                from,
                to,
                term,
                snapshotIndex,
                receivedBytes,
                round,
                sentAtTicks,
                followerClockTicks);
    }
}
