package rockshift.cli;

import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rockshift.distribution.wire.DistributionReactor;
import rockshift.distribution.wire.DistributionSettings;
import rockshift.distribution.wire.RelayProcess;
import rockshift.server.ProcessSignals;

/** Runs a relay until the process is told to stop. */
@Command(
        name = "relay",
        mixinStandardHelpOptions = true,
        description =
                "Runs a relay, configured by the operator's file, which forwards agreed changes"
                        + " from members to controllers.")
final class RelayCommand implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger(RelayCommand.class);

    @Option(
            names = "--operator",
            paramLabel = "FILE",
            required = true,
            description = "operator's file with a block distribution that has a block relay")
    private String operator;

    @Override
    public Integer call() throws Exception {
        ProcessSignals signals = ProcessSignals.install();
        try {
            DistributionSettings settings = OperatorSettings.relay(operator);
            try (DistributionReactor reactor = new DistributionReactor();
                    RelayProcess relay =
                            new RelayProcess(settings, reactor, new SplittableRandom())) {
                CountDownLatch stopped = new CountDownLatch(1);
                signals.setListener(listener(settings.name(), relay, stopped));
                relay.start();
                stopped.await();
            }
            return Commands.SUCCESS;
        } finally {
            signals.markExiting();
        }
    }

    private static ProcessSignals.Listener listener(
            String name, RelayProcess relay, CountDownLatch stopped) {
        return new ProcessSignals.Listener() {
            @Override
            public void reload() {
                LOG.info(
                        "relay reload ignored name={} reason=\"the file is read at start only\"",
                        name);
            }

            @Override
            public void stop() {
                LOG.info("relay stopping name={}", name);
                relay.close();
                stopped.countDown();
            }
        };
    }
}
