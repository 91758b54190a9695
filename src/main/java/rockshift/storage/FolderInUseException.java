package rockshift.storage;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown if a folder is locked by another process, or by another disk in this process. */
public final class FolderInUseException extends IOException {
    private static final long serialVersionUID = 1L;

    FolderInUseException(Path folder) {
        super(folder + " is in use by another process");
    }
}
