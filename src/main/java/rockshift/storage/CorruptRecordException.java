package rockshift.storage;

/** What was durable is damaged, or says what it can't mean. It is never passed over. */
public final class CorruptRecordException extends UnrecoverableStorageException {
    private static final long serialVersionUID = 1L;

    CorruptRecordException(String file, long offset, String reason) {
        super(file, offset, reason);
    }

    CorruptRecordException(String file, long offset, Throwable cause) {
        super(file, offset, cause.getMessage());
        initCause(cause);
    }
}
