package rockshift.storage;

import java.io.IOException;

/** A folder that can't be used as it is; the message names the file and the place in it. */
public final class UnrecoverableStorageException extends IOException {
    private static final long serialVersionUID = 1L;

    UnrecoverableStorageException(String file, long offset, String what) {
        super(file + ", byte " + offset + ": " + what);
    }
}
