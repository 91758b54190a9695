package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Log lines about the configuration at the start, and failing starts. */
class ControllerStartTest extends ControllerFixture {
    /**
     * When other controllers fail, all proxies may connect to one. If it cannot serve them all,
     * that is logged at its start, not only when it happens.
     */
    @Test
    void descriptorLimitTooLowForAllPeersIsLoggedAtStart() throws Exception {
        startController(50, entry("s-1", "Ready", 0));
        awaitLog("limits.sockets too low for all peers: sockets=50 peersBeyondLimit=8");
        errorOutput.reset();
        startController(60, entry("s-1", "Ready", 0));
        awaitLog("n1 serves on");
        assertThat(loggedLines("peersBeyondLimit")).isEmpty();
    }

    /**
     * Drain notices were late when one controller with a slow channel served all proxies of a
     * region. The settings reveal this at the start.
     */
    @Test
    void channelTooSlowForADrainOfAllProxiesIsLoggedAtStart() throws Exception {
        startWith(
                configuration(
                        "127.0.0.1:0",
                        1024,
                        SETTINGS.replace(
                                        "\"channel_rate\":5000,\"backlog\":5000.0",
                                        "\"channel_rate\":10,\"backlog\":39.0")
                                .replace(
                                        "\"fall_multiple\"",
                                        "\"drain_grace_us\":3000000,\"fall_multiple\""),
                        entry("s-1", "Ready", 0)));
        awaitLog(
                "domain.backlog too low for one drain of all proxies: limit=39 proxies=8"
                        + " entries=40");
        awaitLog(
                "domain.channel_rate too low for one drain of all proxies: rate=10 proxies=8"
                        + " seconds=4.0 graceSeconds=3.0");
        errorOutput.reset();
        startController();
        awaitLog("n1 serves on");
        assertThat(loggedLines("one drain of all proxies")).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "listen, field listen is missing",
        "discovery, field discovery is missing",
        "seed, field seed",
        "known, field known",
        "dcs, (zones)",
        "classes, (classes)",
        "proxy_count, (proxies)",
        "name, (class.0.name)"
    })
    void missingConfigurationFieldIsNamed(String field, String expected) throws Exception {
        String file = configuration("127.0.0.1:0", 1024, SETTINGS, entry("s-1", "Ready", 0));
        Files.writeString(
                Path.of(file),
                Files.readString(Path.of(file)).replace("\"" + field + "\"", "\"other\""));
        assertThat(ControllerProcess.run(Map.of("RELAY_CONFIG", file), new ProcessSignals(), null))
                .isEqualTo(2);
        assertThat(errorOutput.toString(StandardCharsets.UTF_8).trim())
                .contains(file, expected)
                .doesNotContain("\n");
    }

    @ParameterizedTest
    @CsvSource({
        "licence, cut, class.1.name, 'must be unique, but ''cut'' is also class.0.name'",
        "licence, '', class.1.name, must not be empty",
        "cut, a+b, class.0.name, 'must not contain ''+'', a separator of the protocol, got"
                + " ''a+b'''",
        "licence, 'a,b', class.1.name, 'must not contain '','', a separator of the protocol, got"
                + " ''a,b'''",
        "licence, a:b, class.1.name, 'must not contain '':'', a separator of the protocol, got"
                + " ''a:b'''"
    })
    @Timeout(60)
    void invalidClassNameIsReportedWithFieldAndPosition(
            String name, String bad, String field, String why) throws Exception {
        String settings =
                SETTINGS.replace("\"classes\"", "\n\"classes\"")
                        .replace("\"" + name + "\"", "\"" + bad + "\"");
        String file = configuration("127.0.0.1:0", 1024, settings, entry("s-1", "Ready", 0));
        int column = settings.lines().toList().get(1).lastIndexOf("\"" + bad + "\"") + 1;
        assertThat(ControllerProcess.run(Map.of("RELAY_CONFIG", file), new ProcessSignals(), null))
                .isEqualTo(2);
        assertThat(errorOutput.toString(StandardCharsets.UTF_8).trim())
                .doesNotContain("\n")
                .startsWith(
                        file + ": line 2, column " + column + ": field settings (" + field + ") ")
                .contains(why);
    }

    @ParameterizedTest
    @CsvSource({
        "'', JSON",
        "'[]', JSON",
        "'{\"seed\":\"x\"}', seed",
        "'{\"listen\":\"x\"}', listen",
        "'{\"known\":3}', known",
        "'{\"limits\":3}', limits"
    })
    void invalidJsonOrFieldValueIsReportedWithTheFile(String text, String expected)
            throws Exception {
        String file = Files.writeString(folder.resolve("garbled.json"), text).toString();
        assertThat(ControllerProcess.run(Map.of("RELAY_CONFIG", file), new ProcessSignals(), null))
                .isEqualTo(2);
        assertThat(
                        ControllerProcess.run(
                                Map.of("RELAY_CONFIG", file + ".missing"),
                                new ProcessSignals(),
                                null))
                .isEqualTo(2);
        assertThat(errorOutput.toString(StandardCharsets.UTF_8).lines())
                .hasSize(2)
                .first()
                .asString()
                .contains(file, expected);
    }

    @Test
    void portInUseEndsTheStartWithOneLineAndStatus() throws Exception {
        try (ServerSocket taken = new ServerSocket()) {
            taken.bind(new InetSocketAddress("127.0.0.1", 0));
            String address = "127.0.0.1:" + taken.getLocalPort();
            Map<String, String> environment =
                    Map.of("RELAY_CONFIG", configuration(address, 1024, SETTINGS));
            assertThat(ControllerProcess.run(environment, new ProcessSignals(), null)).isEqualTo(1);
            assertThat(errorOutput.toString(StandardCharsets.UTF_8).trim())
                    .contains(address)
                    .doesNotContain("\n");
        }
    }

    /** A setting that could not be parsed failed in each planning round, not at the start. */
    @ParameterizedTest
    @CsvSource({
        "'\"fixed_cost\":3.0', '\"push_price\":\"dear\"', domain.push_price: must be a number >= 0",
        "'\"backlog\":5000.0', '\"backlog\":-1', domain.backlog: must be a number >= 0",
        "'\"proxy_count\":8', '\"proxy_count\":\"few\"', domain.proxy_count: must be a number >= 0",
        "'\"granularity_us\":5000', '\"granularity_us\":\"x\"', granularity_us: must be a time >= 0"
                + " in microseconds"
    })
    void unparsableSettingIsReportedWithItsField(String field, String bad, String expected)
            throws Exception {
        String settings = SETTINGS.replace(field, bad);
        assertThat(settings).isNotEqualTo(SETTINGS);
        String file = configuration("127.0.0.1:0", 1024, settings, entry("s-1", "Ready", 0));
        assertThat(ControllerProcess.run(Map.of("RELAY_CONFIG", file), new ProcessSignals(), null))
                .isEqualTo(2);
        assertThat(errorOutput.toString(StandardCharsets.UTF_8).trim())
                .startsWith(file + ": field settings: " + expected + ", got '")
                .doesNotContain("\n");
    }
}
