package rockshift.distribution;

import java.util.List;
import java.util.Objects;

/**
 * The messages between subscribers and publishers, over a connection that keeps their order. Each
 * names the epoch of the scope that it is for, which the subscriber raises with each new scope.
 */
public sealed interface DistributionMessage {
    /** The epoch of the scope that the message is for; from 1. */
    long scopeEpoch();

    /**
     * Subscriber to publisher: the first message of a connection, and each change of scope after
     * it.
     *
     * @param subscriber its name, the same on each connection
     * @param held the revision of this scope that it has; {@link Revision#NONE} asks for a snapshot
     * @param sentMillis the subscriber's own clock, which the next heartbeat returns
     */
    record Subscribe(
            String subscriber, long scopeEpoch, Scope scope, Revision held, long sentMillis)
            implements DistributionMessage {
        /** Fails on a null part. */
        public Subscribe {
            Objects.requireNonNull(subscriber);
            Objects.requireNonNull(scope);
            Objects.requireNonNull(held);
        }
    }

    /**
     * Subscriber to publisher: what is in force; also the answer to each heartbeat and each part of
     * a snapshot.
     *
     * @param snapshotParts parts received of the snapshot under way; 0 if none is
     * @param summary what is in force at the sender and below it
     * @param sentMillis the subscriber's own clock, which the next heartbeat returns
     */
    record Acknowledge(
            long scopeEpoch, Revision inForce, int snapshotParts, Summary summary, long sentMillis)
            implements DistributionMessage {
        /** Fails on a null part. */
        public Acknowledge {
            Objects.requireNonNull(inForce);
            Objects.requireNonNull(summary);
        }
    }

    /**
     * Publisher to subscriber: a part of the whole state of a scope, which takes effect when all
     * parts are there.
     *
     * @param part from 0
     * @param parts how many there are, at least 1
     * @param digest of the whole state
     */
    record SnapshotPart(
            long scopeEpoch, Revision revision, int part, int parts, long digest, List<Item> items)
            implements DistributionMessage {
        /** Fails on a null part. */
        public SnapshotPart {
            Objects.requireNonNull(revision);
            items = List.copyOf(items);
        }
    }

    /**
     * Publisher to subscriber: what changed.
     *
     * @param from the revision that the subscriber must be at
     * @param to the revision that it is at afterwards
     * @param digest of the whole state afterwards
     */
    record Difference(
            long scopeEpoch, Revision from, Revision to, long digest, List<Update> updates)
            implements DistributionMessage {
        /** Fails on a null part. */
        public Difference {
            Objects.requireNonNull(from);
            Objects.requireNonNull(to);
            updates = List.copyOf(updates);
        }
    }

    /**
     * Publisher to subscriber, at a fixed interval: the state that the subscriber should have after
     * all messages before this one.
     *
     * @param current where the subscriber stands; {@link Revision#NONE} while a snapshot is under
     *     way
     * @param digest of the state of its scope at that revision
     * @param staleMillis for how long this state may have been out of date at the publisher
     * @param echoMillis the clock in the last message that the publisher had from the subscriber
     */
    record Heartbeat(
            long scopeEpoch, Revision current, long digest, long staleMillis, long echoMillis)
            implements DistributionMessage {
        /** Fails on a null part. */
        public Heartbeat {
            Objects.requireNonNull(current);
        }
    }

    /** Publisher to subscriber: worth knowing, while the subscription goes on. */
    record Notice(long scopeEpoch, RejectionReason reason, String detail)
            implements DistributionMessage {
        /** Fails on a null part. */
        public Notice {
            Objects.requireNonNull(reason);
            Objects.requireNonNull(detail);
        }
    }

    /**
     * Publisher to subscriber: the last message of a connection.
     *
     * @param detail the field, and what is wrong there
     * @param retryAfterMillis when to come back; 0 leaves it to the subscriber
     */
    record Rejected(long scopeEpoch, RejectionReason reason, String detail, long retryAfterMillis)
            implements DistributionMessage {
        /** Fails on a null part. */
        public Rejected {
            Objects.requireNonNull(reason);
            Objects.requireNonNull(detail);
        }
    }
}
