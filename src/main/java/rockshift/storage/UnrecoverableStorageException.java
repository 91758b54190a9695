package rockshift.storage;

import java.io.IOException;

/**
 * Thrown if a folder cannot be used in its current state. The message contains the file and the
 * byte offset.
 */
public class UnrecoverableStorageException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String file;
    private final long offset;
    private final String reason;

    UnrecoverableStorageException(String file, long offset, String reason) {
        super(file + ", byte " + offset + ": " + reason);
        this.file = file;
        this.offset = offset;
        this.reason = reason;
    }

    /** Returns the name of the file, without its folder. */
    public String file() {
        return file;
    }

    /** Returns the byte offset in the file at which the fault begins. */
    public long offset() {
        return offset;
    }

    /** Returns a description of the fault. */
    public String reason() {
        return reason;
    }
}
