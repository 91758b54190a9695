package rockshift.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller as a process: reads the file that the environment names, serves until a signal ends
 * it, and reloads the file on SIGHUP.
 */
public final class ControllerProcess {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerProcess.class);

    /** The exit status where the file cannot be used. */
    private static final int INVALID_USAGE = 2;

    /** The exit status of all else that keeps the process from serving. */
    private static final int FAILED = 1;

    /**
     * How often a file is checked of which no signal can tell: the grace of a drain is longer, and
     * a check costs nothing.
     */
    private static final long FILE_CHECK_INTERVAL_MS = 1_000;

    private final ControllerServer server;
    private final String file;

    private ControllerProcess(ControllerServer server, String file) {
        this.server = server;
        this.file = file;
    }

    /**
     * Serves until the process is told to end. The calling thread waits meanwhile.
     *
     * @param source what tells of agreed changes, or null
     * @return an exit status, where the controller cannot begin or go on
     */
    public static int run(
            Map<String, String> environment, ProcessSignals signals, AgreedChangesSource source)
            throws InterruptedException {
        String file = environment.get("RELAY_CONFIG");
        String version = fileVersion(file);
        ControllerServer server;
        try {
            server = new ControllerServer(ControllerConfigurationReader.read(file), source);
            server.start();
        } catch (InvalidConfigurationException invalid) {
            System.err.println(invalid.getMessage());
            return INVALID_USAGE;
        } catch (IOException failure) {
            System.err.println(failure.getMessage());
            return FAILED;
        }
        ControllerProcess process = new ControllerProcess(server, file);
        signals.setListener(process.new SignalListener());
        if (signals.isHangupIgnored()) {
            process.pollFile(version);
        }
        server.awaitEnd(0);
        return FAILED;
    }

    private final class SignalListener implements ProcessSignals.Listener {
        @Override
        public void reload() {
            server.reload(file);
        }

        @Override
        public void stop() throws InterruptedException {
            LOG.info("stopping name={}", server.name());
            server.close();
        }
    }

    /**
     * Reloads the file whenever it is another than before. A Java process cannot hear of SIGHUP
     * where whoever started it has the signal ignored.
     */
    private void pollFile(String versionRead) throws InterruptedException {
        LOG.warn(
                "SIGHUP is ignored by the parent process, checking the file each second: {}", file);
        String lastVersion = versionRead;
        while (server.isRunning()) {
            String version = fileVersion(file);
            if (!version.equals(lastVersion)) {
                lastVersion = version;
                server.reload(file);
            }
            server.awaitEnd(FILE_CHECK_INTERVAL_MS);
        }
    }

    /** Which file it is and when it was written, or why that cannot be told. */
    private static String fileVersion(String file) {
        try {
            BasicFileAttributes attributes =
                    Files.readAttributes(
                            Path.of(file == null ? "" : file), BasicFileAttributes.class);
            return attributes.fileKey()
                    + " "
                    + attributes.lastModifiedTime()
                    + " "
                    + attributes.size();
        } catch (IOException failure) {
            return failure.toString();
        }
    }
}
