package rockshift.distribution;

import java.util.HashMap;
import java.util.Map;

/**
 * Why a message or a connection was rejected or ended. The code is what logs, counters and messages
 * show.
 */
public enum RejectionReason {
    /** A field is missing, out of range, or the message does not belong in this direction. */
    MALFORMED("malformed"),
    /** More or larger than the bound allows. */
    TOO_LARGE("too-large"),
    /** Repeated, skipped, or for a state that the receiver does not hold. */
    OUT_OF_ORDER("out-of-order"),
    /** An item outside the scope that was asked for. */
    OUT_OF_SCOPE("out-of-scope"),
    /** The scope asks for nothing. */
    EMPTY_SCOPE("empty-scope"),
    /** The server does not hold all of that scope. */
    UNKNOWN_SCOPE("unknown-scope"),
    /** A notice only: a service or zone of the scope has no item yet. */
    MATCHES_NOTHING("matches-nothing"),
    /** Admission: come back after the time told. */
    BUSY("busy"),
    /** The state of one side was written by another cluster. */
    OTHER_CLUSTER("other-cluster"),
    /** The subscriber is at a later revision than the server. */
    FUTURE_REVISION("future-revision"),
    /** The state of the subscriber is not the one that the server expects. */
    DIGEST_MISMATCH("digest-mismatch"),
    /** The server has been cut off from its own source, or has nothing yet. */
    STALE_UPSTREAM("stale-upstream"),
    /** Nothing was heard for too long. */
    SILENT("silent"),
    /** The subscriber answers but takes too long over a snapshot. */
    SLOW("slow"),
    /** The subscriber connected again. */
    REPLACED("replaced"),
    /** No connection came about in time. */
    UNREACHABLE("unreachable");

    private static final Map<String, RejectionReason> BY_CODE = new HashMap<>();

    static {
        for (RejectionReason reason : values()) {
            BY_CODE.put(reason.code, reason);
        }
    }

    private final String code;

    RejectionReason(String code) {
        this.code = code;
    }

    /** What logs, counters and messages show. */
    public String code() {
        return code;
    }

    /** The reason with this code; null if there is none. */
    public static RejectionReason byCode(String code) {
        return BY_CODE.get(code);
    }
}
