package rockshift.cluster;

import java.util.Map;

/**
 * The governor that a member belongs to, as far as the agreement concerns it. Calls come on the
 * member's thread.
 */
public interface LocalController {
    /**
     * Whether a governor is in touch with a leader that most hear, or what it still may order if
     * not.
     */
    enum Reach {
        FULL,
        WITHDRAW,
        HOLD
    }

    /** What stands agreed now: told anew, whole, after each change. */
    void applyAgreed(long version, Map<String, Change> out, Map<String, Double> terms);

    void setReach(Reach reach);

    /** Why the governor would not have a change, by what is listed now; null if it would. */
    String objection(Change change, Map<String, Change> out);

    /**
     * When a replica that is listed last started, in ms of Unix time; 0 where that is not known.
     */
    long startedMillis(String replica);

    /** The zone of a replica that is listed; empty where that is not known. */
    String zoneOf(String replica);
}
