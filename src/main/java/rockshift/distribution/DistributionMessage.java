package rockshift.distribution;

import java.util.List;
import java.util.Objects;

/**
 * A message between a subscriber and a publisher, on a connection that preserves order. Each
 * message carries the epoch of the scope that it refers to; the subscriber increments the epoch
 * with each new scope.
 */
public sealed interface DistributionMessage {
    /** Returns the epoch of the scope that the message refers to, starting at 1. */
    long scopeEpoch();

    /**
     * Subscriber to publisher: starts the subscription as the first message of a connection; later
     * ones on the same connection change the scope.
     *
     * @param subscriber the subscriber's name, the same on each connection
     * @param held the revision of this scope that the subscriber holds; {@link Revision#NONE}
     *     requests a snapshot
     * @param sentMillis the subscriber's clock, which the next heartbeat echoes
     */
    record Subscribe(
            String subscriber, long scopeEpoch, Scope scope, Revision held, long sentMillis)
            implements DistributionMessage {
        /** Requires all components to be non-null. */
        public Subscribe {
            Objects.requireNonNull(subscriber);
            Objects.requireNonNull(scope);
            Objects.requireNonNull(held);
        }
    }

    /**
     * Subscriber to publisher: acknowledges what is in force, that is, applied by the subscriber's
     * host. Also sent in reply to each heartbeat and to each part of a snapshot except the last.
     *
     * @param snapshotParts parts received of the snapshot in progress; 0 if there is none
     * @param summary what is in force at the sender and downstream of it
     * @param sentMillis the subscriber's clock, which the next heartbeat echoes
     */
    record Acknowledge(
            long scopeEpoch, Revision inForce, int snapshotParts, Summary summary, long sentMillis)
            implements DistributionMessage {
        /** Requires all components to be non-null. */
        public Acknowledge {
            Objects.requireNonNull(inForce);
            Objects.requireNonNull(summary);
        }
    }

    /**
     * Publisher to subscriber: one part of a snapshot of a scope. The snapshot takes effect once
     * all parts have been received.
     *
     * @param part the index of this part, from 0
     * @param parts the number of parts, at least 1
     * @param digest the digest of the whole snapshot
     */
    record SnapshotPart(
            long scopeEpoch, Revision revision, int part, int parts, long digest, List<Item> items)
            implements DistributionMessage {
        /** Requires all components to be non-null. */
        public SnapshotPart {
            Objects.requireNonNull(revision);
            items = List.copyOf(items);
        }
    }

    /**
     * Publisher to subscriber: the updates that lead from one revision to a later one.
     *
     * @param from the revision that the subscriber must be at
     * @param to the revision that the subscriber is at afterwards
     * @param digest the digest of the whole state afterwards
     */
    record Difference(
            long scopeEpoch, Revision from, Revision to, long digest, List<Update> updates)
            implements DistributionMessage {
        /** Requires all components to be non-null. */
        public Difference {
            Objects.requireNonNull(from);
            Objects.requireNonNull(to);
            updates = List.copyOf(updates);
        }
    }

    /**
     * Publisher to subscriber, at a fixed interval: the state that the subscriber should hold after
     * all preceding messages.
     *
     * @param current the revision of that state; {@link Revision#NONE} while a snapshot is in
     *     progress
     * @param digest the digest of the state of the scope at that revision
     * @param staleMillis for how long this state may have been out of date at the publisher
     * @param echoMillis the subscriber's clock in the last message that the publisher received from
     *     it
     */
    record Heartbeat(
            long scopeEpoch, Revision current, long digest, long staleMillis, long echoMillis)
            implements DistributionMessage {
        /** Requires all components to be non-null. */
        public Heartbeat {
            Objects.requireNonNull(current);
        }
    }

    /** Publisher to subscriber: reports a condition that does not end the subscription. */
    record Notice(long scopeEpoch, RejectionReason reason, String detail)
            implements DistributionMessage {
        /** Requires all components to be non-null. */
        public Notice {
            Objects.requireNonNull(reason);
            Objects.requireNonNull(detail);
        }
    }

    /**
     * Publisher to subscriber: the last message of a connection.
     *
     * @param detail the field and what is wrong with it
     * @param retryAfterMillis the time after which to retry; 0 leaves it to the subscriber's own
     *     backoff
     */
    record Rejected(long scopeEpoch, RejectionReason reason, String detail, long retryAfterMillis)
            implements DistributionMessage {
        /** Requires all components to be non-null. */
        public Rejected {
            Objects.requireNonNull(reason);
            Objects.requireNonNull(detail);
        }
    }
}
