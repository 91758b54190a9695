package rockshift.settings;

/** Checks that settings share. Limits may be infinite; no setting may be negative or NaN. */
final class SettingChecks {
    private SettingChecks() {}

    static void requireNotNegative(String field, double value) {
        if (!(value >= 0)) {
            throw new InvalidSettingException(field, "a number from 0, not " + value);
        }
    }
}
