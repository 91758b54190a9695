package rockshift.settings;

import java.util.OptionalDouble;

/**
 * Values that controllers agreed on while running. Each replaces the configured value for as long
 * as it stands; one that is empty leaves the configured value in force.
 *
 * @param zoneCrossingPrice replaces {@link PlannerSettings#zoneCrossingPrice}
 * @param commandPrice replaces {@link PlannerSettings#commandPrice}
 * @param worstClassWeight replaces {@link PlannerSettings#worstClassWeight}
 */
public record SettingOverrides(
        OptionalDouble zoneCrossingPrice,
        OptionalDouble commandPrice,
        OptionalDouble worstClassWeight) {
    /** Leaves everything as configured. */
    public static final SettingOverrides NONE =
            new SettingOverrides(
                    OptionalDouble.empty(), OptionalDouble.empty(), OptionalDouble.empty());
}
