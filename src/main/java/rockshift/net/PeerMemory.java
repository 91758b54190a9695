package rockshift.net;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The memory that a process holds for its peers: unfinished messages, messages that wait to be
 * handled, and unsent ones, at all of its listeners together. It is charged before it is allocated.
 * If a charge exceeds the limit, the peers that hold most are closed until the rest fits.
 * Thread-safe; must not be called while a lock is held that closing a connection needs.
 */
public final class PeerMemory {
    /** Fraction of the heap for peers; the rest is for the program's own state and for garbage. */
    private static final double HEAP_FRACTION = 0.25;

    /** More than honest peers need, however large the heap is. */
    private static final long MAX_LIMIT_BYTES = 48L << 20;

    /** What an open connection takes before it has sent anything. */
    private static final int CONNECTION_BYTES = 4 << 10;

    private static final PeerMemory PROCESS =
            new PeerMemory(
                    Math.min(
                            MAX_LIMIT_BYTES,
                            (long) (HEAP_FRACTION * Runtime.getRuntime().maxMemory())));

    /** The connection of a peer. */
    public interface Holder {
        /**
         * Closes the connection and drops what it holds, as far as no other thread is using it.
         * Called by any thread.
         */
        void closeToFreeMemory();
    }

    private final long limitBytes;

    /** Guarded by this object's monitor, as are all following fields. */
    private final Set<Account> accounts = new HashSet<>();

    private long heldBytes;

    /**
     * Held by accounts that are being closed; it is free as soon as their threads have ended it.
     */
    private long closingBytes;

    /** Creates an instance of its own, for tests; a process has one, {@link #ofProcess}. */
    public PeerMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns the instance that all listeners of the process share. */
    public static PeerMemory ofProcess() {
        return PROCESS;
    }

    /** Opens the account of a connection that a peer has opened. */
    public Account open(Holder holder) {
        return register(new Account(holder));
    }

    /**
     * Opens the account of a connection that this process has opened, to a peer that its operator
     * chose. It counts, but it is not closed in favour of others: its charges are refused instead.
     */
    public Account openOutgoing() {
        return register(new Account(null));
    }

    /** Closes no connection, since the new one is not complete yet; the next charge does. */
    private synchronized Account register(Account account) {
        accounts.add(account);
        add(account, CONNECTION_BYTES);
        return account;
    }

    /** Returns the bytes that are held for all peers. */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    private boolean charge(Account charged, long bytes) {
        List<Account> closing = new ArrayList<>();
        boolean fits;
        synchronized (this) {
            fits = !charged.isClosed() && reserve(charged, bytes, closing);
        }
        closing.forEach(account -> account.holder.closeToFreeMemory());
        return fits;
    }

    /** Charges an account, and selects the accounts that must be closed for that. */
    private boolean reserve(Account charged, long bytes, List<Account> closing) {
        add(charged, bytes);
        while (heldBytes - closingBytes > limitBytes) {
            Account largest = largest();
            if (largest == null) {
                break;
            }
            largest.closing = true;
            closingBytes += largest.heldBytes;
            closing.add(largest);
        }
        // What is being closed may take a moment to be freed, but not without a limit.
        boolean fits =
                !charged.closing
                        && heldBytes - closingBytes <= limitBytes
                        && heldBytes <= 2 * limitBytes;
        if (!fits) {
            add(charged, -bytes);
        }
        return fits;
    }

    private Account largest() {
        Account largest = null;
        for (Account account : accounts) {
            boolean candidate = account.holder != null && !account.closing;
            if (candidate && (largest == null || account.heldBytes > largest.heldBytes)) {
                largest = account;
            }
        }
        return largest;
    }

    private void add(Account account, long bytes) {
        account.heldBytes += bytes;
        heldBytes += bytes;
        closingBytes += account.closing ? bytes : 0;
    }

    private synchronized void release(Account account, long bytes) {
        if (!account.isClosed()) {
            add(account, -bytes);
        }
    }

    private synchronized void close(Account account) {
        if (accounts.remove(account)) {
            add(account, -account.heldBytes);
        }
    }

    /** What is held for one connection. Thread-safe. */
    public final class Account {
        /** Null for a connection that is not closed in favour of others. */
        private final Holder holder;

        /** Guarded by the monitor of the enclosing object, as is the next field. */
        private long heldBytes;

        private boolean closing;

        private Account(Holder holder) {
            this.holder = holder;
        }

        /**
         * Charges memory that is about to be allocated.
         *
         * @return false if it must not be: the process holds too much, and this connection is
         *     closed or takes part in that
         */
        public boolean charge(long bytes) {
            return PeerMemory.this.charge(this, bytes);
        }

        /** Releases memory that was charged. */
        public void release(long bytes) {
            PeerMemory.this.release(this, bytes);
        }

        /** Releases everything, as the connection has ended. Later charges are refused. */
        public void close() {
            PeerMemory.this.close(this);
        }

        /** Returns the bytes that are held for this connection. */
        public long heldBytes() {
            synchronized (PeerMemory.this) {
                return heldBytes;
            }
        }

        private boolean isClosed() {
            return !accounts.contains(this);
        }
    }

    /** Thrown if a peer's bytes are not accepted, as the process holds too much for its peers. */
    public static final class ExceededException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        /** Creates the exception for a number of bytes that would have been allocated. */
        public ExceededException(long bytes) {
            super("memory held for all peers reaches its limit, " + bytes + " bytes not accepted");
        }
    }
}
