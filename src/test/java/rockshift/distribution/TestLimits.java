package rockshift.distribution;

/** Small limits, so that tests reach them quickly. */
final class TestLimits {
    private TestLimits() {}

    /**
     * Returns the standard timing and admission limits with small sizes: a history of this many
     * updates, and snapshot parts and differences of this many items.
     */
    static Limits small(int historyUpdates, int partItems, int differenceUpdates) {
        return new Limits(
                Limits.standard().timing(),
                new Limits.Sizes(
                        1_024,
                        1_024,
                        historyUpdates,
                        1 << 20,
                        partItems,
                        64_000,
                        differenceUpdates,
                        64_000,
                        64,
                        40),
                Limits.standard().admission());
    }

    static Limits with(Limits base, Limits.Timing timing) {
        return new Limits(timing, base.sizes(), base.admission());
    }

    static Limits with(Limits base, Limits.Admission admission) {
        return new Limits(base.timing(), base.sizes(), admission);
    }
}
