package rockshift.storage;

import java.io.IOException;

/** A folder that can't be used as it is; the message names the file and the byte in it. */
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

    /** The file in question, without its folder. */
    public String file() {
        return file;
    }

    /** The byte of the file where the fault begins. */
    public long offset() {
        return offset;
    }

    /** What is wrong there. */
    public String reason() {
        return reason;
    }
}
