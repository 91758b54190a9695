package rockshift.settings;

import static rockshift.settings.SettingChecks.requireNotNegative;

import java.util.Objects;

/**
 * Settings of one request class. Times are in ticks of 100 microseconds.
 *
 * @param name name of the class at proxies and in reports
 * @param latencyObjectiveTicks latency above which an answer is late
 * @param timeoutTicks time that a client waits for an answer, over all its attempts
 * @param priorityWeight value of one answered request, relative to the other classes
 * @param restrictedToOwnZone whether requests may only go to replicas in the proxy's own zone
 */
public record ClassSettings(
        String name,
        double latencyObjectiveTicks,
        long timeoutTicks,
        double priorityWeight,
        boolean restrictedToOwnZone) {
    /** Rejects a missing name, and numbers that are negative or NaN. */
    public ClassSettings {
        Objects.requireNonNull(name, "name");
        requireNotNegative("latencyObjectiveTicks", latencyObjectiveTicks);
        requireNotNegative("timeoutTicks", timeoutTicks);
        requireNotNegative("priorityWeight", priorityWeight);
    }

    /** Returns a builder with this name and the defaults of the other settings. */
    public static Builder named(String name) {
        return new Builder().name(name);
    }

    /** Builder of {@link ClassSettings}. All settings except the name have a default. */
    public static final class Builder {
        private String name;
        private double latencyObjectiveTicks = Double.MAX_VALUE;
        private long timeoutTicks = 0;
        private double priorityWeight = 1;
        private boolean restrictedToOwnZone = false;

        /** Sets {@link ClassSettings#name}; it has no default. */
        public Builder name(String value) {
            name = value;
            return this;
        }

        /** Sets {@link ClassSettings#latencyObjectiveTicks}; by default no answer is late. */
        public Builder latencyObjectiveTicks(double value) {
            latencyObjectiveTicks = value;
            return this;
        }

        /** Sets {@link ClassSettings#timeoutTicks}. */
        public Builder timeoutTicks(long value) {
            timeoutTicks = value;
            return this;
        }

        /** Sets {@link ClassSettings#priorityWeight}. */
        public Builder priorityWeight(double value) {
            priorityWeight = value;
            return this;
        }

        /** Sets {@link ClassSettings#restrictedToOwnZone}. */
        public Builder restrictedToOwnZone(boolean value) {
            restrictedToOwnZone = value;
            return this;
        }

        /** Returns the settings with the values set so far. */
        public ClassSettings build() {
            return new ClassSettings(
                    name, latencyObjectiveTicks, timeoutTicks, priorityWeight, restrictedToOwnZone);
        }
    }
}
