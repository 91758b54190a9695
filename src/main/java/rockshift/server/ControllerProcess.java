package rockshift.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a controller as a process: reads the configuration file that the environment names, serves
 * until a signal ends the process, and reloads the file on SIGHUP.
 */
public final class ControllerProcess {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerProcess.class);

    /** Exit status if the configuration file is invalid. */
    private static final int INVALID_USAGE = 2;

    /** Exit status of any other failure to serve. */
    private static final int FAILED = 1;

    /**
     * Interval of checks for a changed file if SIGHUP is ignored. It is shorter than the grace of a
     * drain, and a check costs next to nothing.
     */
    private static final long FILE_CHECK_INTERVAL_MS = 1_000;

    private final ControllerServer server;
    private final String file;

    private ControllerProcess(ControllerServer server, String file) {
        this.server = server;
        this.file = file;
    }

    /**
     * Serves until the process is told to end. Blocks the calling thread meanwhile.
     *
     * @param source source of agreed changes, or null
     * @return the exit status if the controller cannot start or cannot continue
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
     * Reloads the file whenever it has changed. A Java process cannot receive SIGHUP if its parent
     * process started it with the signal ignored.
     */
    private void pollFile(String initialVersion) throws InterruptedException {
        LOG.warn(
                "SIGHUP is ignored by the parent process, checking the file for changes every"
                        + " second: file={}",
                file);
        String lastVersion = initialVersion;
        while (server.isRunning()) {
            String version = fileVersion(file);
            if (!version.equals(lastVersion)) {
                lastVersion = version;
                server.reload(file);
            }
            server.awaitEnd(FILE_CHECK_INTERVAL_MS);
        }
    }

    /**
     * Returns a text that differs once the file is replaced or written: its key, time and size, or
     * the error if they cannot be read.
     */
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
