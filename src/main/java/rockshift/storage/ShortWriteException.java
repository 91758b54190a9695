package rockshift.storage;

import java.io.IOException;

/** A disk reported success, but a file is shorter than what was written to it. */
public final class ShortWriteException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String file;

    ShortWriteException(String file) {
        super(file + ": the disk took less than it was given");
        this.file = file;
    }

    /** The file in question, without its folder. */
    public String file() {
        return file;
    }
}
