package rockshift.settings;

import java.util.OptionalDouble;

/**
 * Settings that the controllers agreed on at run time. Each replaces the configured value for as
 * long as it is agreed; an empty one leaves the configured value in force.
 *
 * @param zoneCrossingPrice replaces {@link PlannerSettings#zoneCrossingPrice}
 * @param commandPrice replaces {@link PlannerSettings#commandPrice}
 * @param worstClassWeight replaces {@link PlannerSettings#worstClassWeight}
 */
public record SettingOverrides(
        OptionalDouble zoneCrossingPrice,
        OptionalDouble commandPrice,
        OptionalDouble worstClassWeight) {
    /** No overrides: all settings are as configured. */
    public static final SettingOverrides NONE =
            new SettingOverrides(
                    OptionalDouble.empty(), OptionalDouble.empty(), OptionalDouble.empty());
}
