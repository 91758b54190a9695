package rockshift.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The count of free descriptors, in this process. */
class OpenDescriptorsTest {
    private static final int OPENED = 200;

    /** Guards against a listener that accepts although nothing is left for files and discovery. */
    @Test
    void openFilesReduceTheFreeDescriptors(@TempDir Path folder) throws Exception {
        Path file = Files.createFile(folder.resolve("file"));
        OpenDescriptors descriptors = new OpenDescriptors(10_000);
        int before = descriptors.free();
        List<InputStream> open = new ArrayList<>();
        for (int i = 0; i < OPENED; i++) {
            open.add(Files.newInputStream(file));
        }
        assertThat(descriptors.free()).isBetween(before - 2 * OPENED, before - OPENED / 2);
        for (InputStream each : open) {
            each.close();
        }
    }

    /** Guards against a negative count of free descriptors. */
    @Test
    void configuredLimitBelowTheOpenDescriptorsLeavesNone() {
        assertThat(new OpenDescriptors(1).free()).isZero();
    }
}
