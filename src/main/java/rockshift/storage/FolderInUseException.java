package rockshift.storage;

import java.io.IOException;
import java.nio.file.Path;

/** Another process, or another part of this one, holds the folder. */
public final class FolderInUseException extends IOException {
    private static final long serialVersionUID = 1L;

    FolderInUseException(Path folder) {
        super(folder + " is in use by another process");
    }
}
