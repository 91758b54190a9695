package rockshift.distribution;

import java.util.HashMap;
import java.util.Map;

/**
 * The reason why a message was rejected or a connection ended. Logs, counters and messages show its
 * code.
 */
public enum RejectionReason {
    /** A field is missing or out of range, or the message is not allowed in this direction. */
    MALFORMED("malformed"),
    /** A size or count exceeds its limit. */
    TOO_LARGE("too-large"),
    /** A message was repeated or skipped, or is for a state that the receiver does not hold. */
    OUT_OF_ORDER("out-of-order"),
    /** An item is outside the subscribed scope. */
    OUT_OF_SCOPE("out-of-scope"),
    /** The scope names no service and no zone. */
    EMPTY_SCOPE("empty-scope"),
    /** The publisher does not serve the whole scope. */
    UNKNOWN_SCOPE("unknown-scope"),
    /** Notice only: there is no item yet for one of the services or zones of the scope. */
    MATCHES_NOTHING("matches-nothing"),
    /** The publisher is at an admission limit; the subscriber should retry after the time given. */
    BUSY("busy"),
    /** The two sides hold states of different clusters. */
    OTHER_CLUSTER("other-cluster"),
    /** The subscriber is at a later revision than its upstream. */
    FUTURE_REVISION("future-revision"),
    /** The subscriber's state differs from the one that the publisher expects. */
    DIGEST_MISMATCH("digest-mismatch"),
    /** The upstream's state is out of date, or it has none yet. */
    STALE_UPSTREAM("stale-upstream"),
    /** Nothing was received within the silence timeout. */
    SILENT("silent"),
    /** The subscriber acknowledges too slowly, during a snapshot or after scope changes. */
    SLOW("slow"),
    /** The subscriber has subscribed on another connection. */
    REPLACED("replaced"),
    /** No connection could be established in time. */
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

    /** Returns the code that logs, counters and messages show. */
    public String code() {
        return code;
    }

    /** Returns the reason with this code; null if there is none. */
    public static RejectionReason byCode(String code) {
        return BY_CODE.get(code);
    }
}
