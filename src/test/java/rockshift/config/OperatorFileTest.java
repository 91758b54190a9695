package rockshift.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rockshift.cluster.ClusterSettings;
import rockshift.distribution.wire.DistributionSettings;

/** Tests that operators' files are read with their units and that errors name their place. */
class OperatorFileTest {
    private static final String VALID =
            """
            # one of three
            cluster {
              name = "n1"
              listen = "127.0.0.1:7101"
              folder = "/tmp/n1"   // where it persists
              election = "200ms"
              founder "n1" { address = "127.0.0.1:7101" }
              founder "n2" { address = "127.0.0.1:7102" }
              founder "n3" {
                address = "127.0.0.1:7103"
              }
            }
            """;

    private static ClusterSettings read(String text) throws InvalidFileException {
        Section file = OperatorFile.parse("o.hcl", text);
        ClusterSettings settings = ClusterSettings.read(file);
        file.rejectUnknownFields();
        return settings;
    }

    @Test
    void validFileIsReadWithUnits() throws InvalidFileException {
        ClusterSettings settings = read(VALID);
        assertThat(settings.timing().electionTimeoutTicks()).isEqualTo(2_000);
        assertThat(settings.timing().heartbeatIntervalTicks()).isEqualTo(400);
        assertThat(settings.founders()).containsOnlyKeys("n1", "n2", "n3");
        assertThat(settings.minority()).isEqualTo(ClusterSettings.Minority.WITHDRAW);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "election = \"200ms\"|election = \"200\"|line 6, field cluster.election:"
                        + " must be a duration with a unit",
                "election = \"200ms\"|election = \"2ms\"|line 6, field cluster.election: must be"
                        + " from 50ms",
                "election = \"200ms\"|elections = \"200ms\"|line 6, field cluster.elections: is"
                        + " unknown",
                "election = \"200ms\"|election =|line 6, field cluster.election: expected a value"
                        + " after '='",
                "election = \"200ms\"|minority = \"maybe\"|line 6, field cluster.minority:"
                        + " must be one of serve, withdraw, hold",
                "election = \"200ms\"|heartbeat = \"900ms\"|line 6, field cluster.heartbeat: must"
                        + " be at most a third of election",
                "election = \"200ms\"|snapshot_after = 7|line 6, field cluster.snapshot_after: must"
                        + " be from 100",
                "election = \"200ms\"|drift = \"much\"|line 6, field cluster.drift: must be a"
                        + " number",
                "election = \"200ms\"|leases = \"yes|line 6: string is not closed, expected '\"'",
                "listen = \"127.0.0.1:7101\"|listen = \"here\"|line 4, field cluster.listen: must"
                        + " be an address",
                "name = \"n1\"|name = \"n7\"|field cluster.founder: must include this member (n7)",
                "founder \"n2\" { address = \"127.0.0.1:7102\" }|founder \"n2\" { place = \"x\" }"
                        + "|line 8, field cluster.founder.n2.address",
                "founder \"n2\" { address = \"127.0.0.1:7102\" }|#|must name one, three or five"
                        + " members, not 2",
                "# one of three|cluster {}|line 2, field cluster: already defined on line 1",
                "# one of three|}|line 1: unexpected '}', no block is open"
            })
    void invalidValueIsReportedWithFileLineAndField(String from, String to, String what) {
        assertThatThrownBy(() -> read(VALID.replace(from, to)))
                .isInstanceOf(InvalidFileException.class)
                .hasMessageStartingWith("o.hcl")
                .hasMessageContaining(what);
    }

    private static final String RELAY =
            """
            distribution {
              name = "r1"
              upstream "n1" { address = "127.0.0.1:7101" }
              upstream "n2" { address = "127.0.0.1:7102" }
              scope {
                services = ["shop", "search"]
                zones = ["hall-a"]
              }
              relay {
                listen = "127.0.0.1:7201"
                subscribers = 300
              }
            }
            """;

    private static DistributionSettings readDistribution(String text) throws InvalidFileException {
        Section file = OperatorFile.parse("o.hcl", text);
        DistributionSettings settings = DistributionSettings.read(file);
        file.rejectUnknownFields();
        return settings;
    }

    @Test
    void relayBlockIsReadCompletely() throws InvalidFileException {
        DistributionSettings relay = readDistribution(RELAY);
        assertThat(relay.name()).isEqualTo("r1");
        assertThat(relay.upstreams()).containsOnlyKeys("n1", "n2");
        assertThat(relay.scope().services()).containsExactly("search", "shop");
        assertThat(relay.scope().zones()).containsExactly("hall-a");
        assertThat(relay.relay().listen().getPort()).isEqualTo(7201);
        assertThat(relay.limits().admission().maxConnections()).isEqualTo(300);
        assertThat(readDistribution("# nothing\n")).isNull();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name = \"r1\"|nmae = \"r1\"|line 1, field distribution.name: is missing",
                "name = \"r1\"|name = 7|line 2, field distribution.name: must be text",
                "address = \"127.0.0.1:7101\"|address = \"here\"|line 3, field"
                        + " distribution.upstream.n1.address: must be an address",
                "upstream \"n2\"|downstream \"n2\"|field distribution.downstream: is unknown",
                "zones = [\"hall-a\"]|zones = \"hall-a\"|line 7, field distribution.scope.zones:"
                        + " must be a list of texts",
                "zones = [\"hall-a\"]|zones = [\"hall-a\", \"hall-a\"]|line 7, field"
                        + " distribution.scope.zones: lists 'hall-a' twice",
                "zones = [\"hall-a\"]|zones = [\"\"]|line 7, field distribution.scope.zones: must"
                        + " list texts of 1 to 200",
                "zones = [\"hall-a\"]|zoens = [\"hall-a\"]|line 7, field distribution.scope.zoens:"
                        + " is unknown",
                "listen = \"127.0.0.1:7201\"|#|field distribution.relay.listen: is missing",
                "subscribers = 300|subscribers = 0|line 11, field distribution.relay.subscribers:"
                        + " must be from 1"
            })
    void invalidRelayValueIsReportedWithFileLineAndField(String from, String to, String what) {
        assertThatThrownBy(() -> readDistribution(RELAY.replace(from, to)))
                .isInstanceOf(InvalidFileException.class)
                .hasMessageStartingWith("o.hcl")
                .hasMessageContaining(what);
    }

    @Test
    void emptyScopeIsRejectedAndAControllerMustNameOne() {
        assertThatThrownBy(
                        () ->
                                readDistribution(
                                        "distribution {\n"
                                                + " name = \"g\"\n"
                                                + " upstream \"r\" { address = \"a:1\" }\n"
                                                + " scope {\n"
                                                + " }\n"
                                                + "}\n"))
                .hasMessageContaining("field distribution.scope: names no services and no zones");
        assertThatThrownBy(
                        () ->
                                readDistribution(
                                        "distribution {\n"
                                                + " name = \"g\"\n"
                                                + " upstream \"r\" { address = \"a:1\" }\n"
                                                + "}\n"))
                .hasMessageContaining("field distribution.scope: is missing");
        assertThatThrownBy(() -> readDistribution("distribution {\n name = \"g\"\n}\n"))
                .hasMessageContaining("field distribution.upstream: is missing");
    }

    @Test
    void unclosedBlockAndMissingFileAreReported() {
        assertThatThrownBy(() -> read("cluster {\n  name = \"n1\"\n"))
                .hasMessageContaining("line 1, field cluster: block is not closed, expected '}'");
        assertThatThrownBy(() -> OperatorFile.read("/nowhere/o.hcl"))
                .hasMessageContaining("/nowhere/o.hcl: can't be read");
        assertThatThrownBy(() -> read("other {\n}\n"))
                .hasMessageContaining("field cluster: is missing");
    }
}
