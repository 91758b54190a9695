package rockshift.net;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds an accepting thread back until it may accept another connection: until the policy permits
 * it, and enough descriptors are free for the rest of the process. Connections wait in the backlog
 * meanwhile. Used by one accepting thread at a time, except {@link #reset}.
 */
final class AcceptGate {
    private static final Logger LOG = LoggerFactory.getLogger(AcceptGate.class);

    /**
     * Descriptors that stay free when connections are accepted: for calls to discovery, connections
     * to other members and upstreams, files being written, and connections being closed.
     */
    static final int RESERVED_DESCRIPTORS = 16;

    /** Most accepts between two counts of the open descriptors, each of which reads a folder. */
    private static final int MAX_UNCHECKED_ACCEPTS = 64;

    /** Pause of the accepting thread between questions to the policy. */
    private static final long ACCEPT_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** The same between counts of the open descriptors, which cost more. */
    private static final long SHORTAGE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** Shortages of descriptors that last longer are logged. */
    private static final long SHORTAGE_LOGGED_AFTER_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final String name;
    private final AcceptPolicy policy;
    private final OpenDescriptors descriptors;
    private final Consumer<Runnable> exclusively;

    /** Accepts that need no further count of the open descriptors. */
    private volatile int uncheckedAccepts;

    /**
     * Creates a gate.
     *
     * @param name of the listener, in log lines
     * @param exclusively runs a step on the caller's thread that excludes all events
     */
    AcceptGate(
            String name,
            AcceptPolicy policy,
            OpenDescriptors descriptors,
            Consumer<Runnable> exclusively) {
        this.name = name;
        this.policy = policy;
        this.descriptors = descriptors;
        this.exclusively = exclusively;
    }

    /** Makes the next accept count the open descriptors. */
    void reset() {
        uncheckedAccepts = 0;
    }

    /**
     * Waits until another connection may be accepted, or this thread's listener no longer serves.
     *
     * @param channels counts the connections that are open or being opened
     */
    void awaitNextAccept(BooleanSupplier serving, IntSupplier channels) {
        while (serving.getAsBoolean() && !policy.mayAccept(channels.getAsInt())) {
            LockSupport.parkNanos(ACCEPT_PAUSE_NANOS);
        }
        int unchecked = uncheckedAccepts;
        if (unchecked > 0) {
            uncheckedAccepts = unchecked - 1;
            return;
        }
        int spare = awaitSpareDescriptors(serving);
        // Half of them at most: other listeners of the process accept at the same time.
        uncheckedAccepts = Math.min(MAX_UNCHECKED_ACCEPTS, spare / 2);
    }

    /** Waits until more descriptors are free than are reserved; returns how many more. */
    private int awaitSpareDescriptors(BooleanSupplier serving) {
        long begunNanos = System.nanoTime();
        boolean logged = false;
        int spare = spareDescriptors();
        while (serving.getAsBoolean() && spare <= 0) {
            if (!logged && System.nanoTime() - begunNanos > SHORTAGE_LOGGED_AFTER_NANOS) {
                logged = true;
                LOG.warn("not accepting, file descriptors are short name={}", name);
            }
            exclusively.accept(policy::descriptorsShort);
            LockSupport.parkNanos(SHORTAGE_PAUSE_NANOS);
            spare = spareDescriptors();
        }
        if (logged) {
            LOG.info("accepting again name={}", name);
        }
        return spare;
    }

    private int spareDescriptors() {
        return descriptors.free() - RESERVED_DESCRIPTORS;
    }
}
