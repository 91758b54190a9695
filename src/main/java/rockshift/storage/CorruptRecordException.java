package rockshift.storage;

/**
 * Thrown if durable data is damaged or its content is invalid. Such data is never silently skipped.
 */
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
