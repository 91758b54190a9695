package rockshift.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PlannerSettingsTest {
    private static final ClassSettings SEARCH = ClassSettings.named("search").build();

    /** The constructor takes 26 positional values, which are easily swapped. */
    @Test
    void builderPassesEachSettingUnderItsOwnName() {
        PlannerSettings settings =
                PlannerSettings.newBuilder()
                        .zones(List.of("east", "west"))
                        .classes(List.of(SEARCH))
                        .sharded(true)
                        .controllerCount(1)
                        .expectedProxies(2)
                        .channelEntriesPerSecond(3)
                        .channelQueueLimitEntries(4)
                        .messageOverheadEntries(5)
                        .messageQuota(6)
                        .messageQuotaWindowTicks(7)
                        .transitTicks(8)
                        .longestTransitTicks(9)
                        .reportPeriodTicks(10)
                        .defaultRetryMode(11)
                        .admissionMode(AdmissionMode.FRACTION)
                        .idleCloseTicks(12)
                        .drainGraceTicks(13)
                        .noReplicaLimitTicks(13.5)
                        .initialSlowStartFraction(14)
                        .slowStartTicks(15)
                        .slowStartOverloadMultiple(16)
                        .worstClassWeight(17)
                        .zoneCrossingPrice(18)
                        .commandPrice(19)
                        .loadMetricNames(Set.of("util"))
                        .subscribesToDiscovery(true)
                        .turnSpacingTicks(20)
                        .build();
        assertThat(settings)
                .hasToString(
                        "PlannerSettings[zones=[east, west], classes=["
                                + SEARCH
                                + "], sharded=true, controllerCount=1, expectedProxies=2,"
                                + " channelEntriesPerSecond=3.0, channelQueueLimitEntries=4.0,"
                                + " messageOverheadEntries=5.0, messageQuota=6.0,"
                                + " messageQuotaWindowTicks=7.0, transitTicks=8.0,"
                                + " longestTransitTicks=9.0, reportPeriodTicks=10,"
                                + " defaultRetryMode=11, admissionMode=FRACTION,"
                                + " idleCloseTicks=12.0, drainGraceTicks=13.0,"
                                + " noReplicaLimitTicks=13.5,"
                                + " initialSlowStartFraction=14.0, slowStartTicks=15.0,"
                                + " slowStartOverloadMultiple=16.0, worstClassWeight=17.0,"
                                + " zoneCrossingPrice=18.0, commandPrice=19.0,"
                                + " loadMetricNames=[util], subscribesToDiscovery=true,"
                                + " turnSpacingTicks=20]");
        assertThat(settings.withOverrides(SettingOverrides.NONE)).isEqualTo(settings);
    }

    @Test
    void changingAListAfterBuildDoesNotChangeTheSettings() {
        List<String> zones = new ArrayList<>(List.of("east"));
        PlannerSettings settings = PlannerSettings.newBuilder().zones(zones).build();
        zones.add("west");
        assertThat(settings.zones()).containsExactly("east");
    }

    @Test
    void overridesReplaceConfiguredValuesUntilRemoved() {
        PlannerSettings configured =
                PlannerSettings.newBuilder().zoneCrossingPrice(0.5).commandPrice(0.25).build();
        PlannerSettings changed =
                configured.withOverrides(
                        new SettingOverrides(
                                OptionalDouble.of(2),
                                OptionalDouble.empty(),
                                OptionalDouble.of(0.3)));
        assertThat(changed.zoneCrossingPrice()).isEqualTo(2);
        assertThat(changed.commandPrice()).isEqualTo(0.25);
        assertThat(changed.worstClassWeight()).isEqualTo(0.3);
        assertThat(configured.withOverrides(SettingOverrides.NONE)).isEqualTo(configured);
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.NEGATIVE_INFINITY})
    void negativeNumbersAndNanAreRejectedWithTheirField(double invalidValue) {
        assertThatThrownBy(() -> PlannerSettings.newBuilder().drainGraceTicks(invalidValue).build())
                .isInstanceOfSatisfying(
                        InvalidSettingException.class,
                        invalid -> assertThat(invalid.field()).isEqualTo("drainGraceTicks"));
        assertThatThrownBy(() -> ClassSettings.named("search").priorityWeight(invalidValue).build())
                .isInstanceOfSatisfying(
                        InvalidSettingException.class,
                        invalid -> assertThat(invalid.field()).isEqualTo("priorityWeight"));
    }

    @Test
    void classesWithTheSameNameAreRejected() {
        assertThatThrownBy(
                        () -> PlannerSettings.newBuilder().classes(List.of(SEARCH, SEARCH)).build())
                .isInstanceOf(ClassNames.InvalidNameException.class)
                .hasMessage("class.1.name: must be unique, but 'search' is also class.0.name");
    }
}
