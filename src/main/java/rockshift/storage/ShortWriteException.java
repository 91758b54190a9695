package rockshift.storage;

import java.io.IOException;

/** Thrown if a disk reports success, but a file is shorter than the data written to it. */
public final class ShortWriteException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String file;

    ShortWriteException(String file) {
        super(file + ": short write, the file does not contain all the data written to it");
        this.file = file;
    }

    /** Returns the name of the file, without its folder. */
    public String file() {
        return file;
    }
}
