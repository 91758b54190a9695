package rockshift.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsParserTest {
    /** Settings of a whole deployment, with the names of the simulator protocol. */
    private static final String DEPLOYMENT =
            "dcs=a,b classes.count=2 classes.0.name=search classes.0.aim_us=1000000"
                    + " classes.0.hard_limit_us=2500000 classes.0.worth=2.0 classes.1.name=checkout"
                    + " n_instances=3 domain.proxy_count=16 domain.channel_rate=6100.0"
                    + " domain.backlog=9200.0 domain.fixed_cost=3.0 domain.update_cap=20"
                    + " domain.update_window_us=10000000 domain.late_us=220000"
                    + " domain.worst_transit_us=550000 domain.cycle_us=2000000"
                    + " domain.base_mode=1 domain.admission=fraction domain.slices=0"
                    + " domain.class_own_zone=false,true ceilings.idle_close_us=15000000"
                    + " invariants.drain_grace_us=3100099 invariants.start_capacity=0.19"
                    + " invariants.warm_after_us=18000000 invariants.fall_multiple=4.0"
                    + " goal.worst_class=0.3 prices.cross_zone=0.01 domain.push_price=0.02"
                    + " report.names=util,queue discovery=subscribe granularity_us=5000";

    private static SettingsParser parser(String pairs) {
        SettingsParser parser = new SettingsParser();
        for (String pair : pairs.split(" ")) {
            int equals = pair.indexOf('=');
            parser.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return parser;
    }

    @Test
    void mapsEachPathToItsSettingAndTimesToTicks() {
        PlannerSettings settings = parser(DEPLOYMENT).build();
        assertThat(settings.zones()).containsExactly("a", "b");
        assertThat(settings.classes())
                .containsExactly(
                        new ClassSettings("search", 10_000, 25_000, 2, false),
                        new ClassSettings("checkout", Double.MAX_VALUE, 0, 1, true));
        assertThat(settings.controllerCount()).isEqualTo(3);
        assertThat(settings.expectedProxies()).isEqualTo(16);
        assertThat(settings.channelEntriesPerSecond()).isEqualTo(6100);
        assertThat(settings.channelQueueLimitEntries()).isEqualTo(9200);
        assertThat(settings.messageOverheadEntries()).isEqualTo(3);
        assertThat(settings.messageQuota()).isEqualTo(20);
        assertThat(settings.messageQuotaWindowTicks()).isEqualTo(100_000);
        assertThat(settings.transitTicks()).isEqualTo(2_200);
        assertThat(settings.longestTransitTicks()).isEqualTo(5_500);
        assertThat(settings.reportPeriodTicks()).isEqualTo(20_000);
        assertThat(settings.defaultRetryMode()).isEqualTo(1);
        assertThat(settings.admissionMode()).isEqualTo(AdmissionMode.FRACTION);
        assertThat(settings.sharded()).isFalse();
        assertThat(settings.idleCloseTicks()).isEqualTo(150_000);
        assertThat(settings.drainGraceTicks()).as("rounded down").isEqualTo(31_000);
        assertThat(settings.initialSlowStartFraction()).isEqualTo(0.19);
        assertThat(settings.slowStartTicks()).isEqualTo(180_000);
        assertThat(settings.slowStartOverloadMultiple()).isEqualTo(4);
        assertThat(settings.worstClassWeight()).isEqualTo(0.3);
        assertThat(settings.zoneCrossingPrice()).isEqualTo(0.01);
        assertThat(settings.commandPrice()).isEqualTo(0.02);
        assertThat(settings.loadMetricNames()).containsExactlyInAnyOrder("util", "queue");
        assertThat(settings.subscribesToDiscovery()).isTrue();
        assertThat(settings.turnSpacingTicks()).isEqualTo(50);
    }

    @Test
    void absentAndUnknownPathsLeaveTheDefaults() {
        PlannerSettings defaults = PlannerSettings.newBuilder().build();
        assertThat(new SettingsParser().build()).isEqualTo(defaults);
        assertThat(
                        parser(
                                        "new.key=x classes.x.name=search classes.0.group=all"
                                            + " report.names= domain.backlog= discovery=automatic"
                                            + " domain.admission=none my_number=many")
                                .build())
                .isEqualTo(defaults);
    }

    @ParameterizedTest
    @CsvSource({"fraction, FRACTION", "per_second, RATE_PER_SECOND", "none, NONE", "other, NONE"})
    void mapsEachAdmissionValueToItsMode(String word, AdmissionMode mode) {
        assertThat(parser("domain.admission=" + word).build().admissionMode()).isEqualTo(mode);
    }

    @Test
    void positiveSliceCountMakesTheDeploymentSharded() {
        assertThat(parser("domain.slices=64").build().sharded()).isTrue();
    }

    /**
     * Protocol keywords were replaced anywhere in the text, which renamed a class or zone whose
     * name was a keyword.
     */
    @Test
    void classesAndZonesMayBeNamedLikeProtocolKeywords() {
        PlannerSettings settings =
                parser("classes.count=1 classes.0.name=fraction dcs=retryable").build();
        assertThat(settings.classNames().number("fraction")).isZero();
        assertThat(settings.zones()).isEqualTo(List.of("retryable"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"dear", "-0.1", "NaN"})
    void invalidNumbersAreRejectedWithTheirPath(String invalidText) {
        for (String path : List.of("domain.push_price", "domain.proxy_count", "classes.0.worth")) {
            assertThatThrownBy(() -> new SettingsParser().put(path, invalidText))
                    .isInstanceOf(InvalidSettingException.class)
                    .hasMessage(path + ": must be a number >= 0, got '" + invalidText + "'");
        }
    }

    @Test
    void invalidTimesAndCountsAreRejectedWithTheirPath() {
        assertThatThrownBy(() -> new SettingsParser().put("domain.late_us", ""))
                .hasMessage("domain.late_us: must be a time >= 0 in microseconds, got ''");
        assertThatThrownBy(() -> new SettingsParser().put("classes.count", "2.5"))
                .hasMessage("classes.count: must be a whole number >= 0, got '2.5'");
    }

    @ParameterizedTest
    @CsvSource({
        "dcs=, zones",
        "classes.count=, classes",
        "domain.proxy_count=, proxies",
        "classes.1.name=, class.1.name"
    })
    void missingRequiredSettingsAreRejectedWithTheirField(String without, String field) {
        String rest = DEPLOYMENT.replaceAll(without.replace(".", "\\.") + "\\S+ ?", "");
        assertThat(rest).isNotEqualTo(DEPLOYMENT);
        SettingsParser parser = parser(rest);
        assertThatThrownBy(
                        () -> {
                            parser.requireDeployment();
                            parser.build();
                        })
                .isInstanceOfSatisfying(
                        InvalidSettingException.class,
                        invalid -> {
                            assertThat(invalid.field()).isEqualTo(field);
                            assertThat(invalid.reason()).isEqualTo("is missing");
                        });
    }

    @Test
    void mapsNamesOfTheAgreedLogToOverridesAndIgnoresOthers() {
        assertThat(SettingsParser.overrides(Map.of())).isEqualTo(SettingOverrides.NONE);
        assertThat(
                        SettingsParser.overrides(
                                Map.of(
                                        "price.crossing", 0.1,
                                        "price.orders", 0.2,
                                        "goal.worst.class", 0.3,
                                        "price.other", 0.4)))
                .isEqualTo(
                        new SettingOverrides(
                                OptionalDouble.of(0.1),
                                OptionalDouble.of(0.2),
                                OptionalDouble.of(0.3)));
    }
}
