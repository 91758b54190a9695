package rockshift.planner;

/** Difference between a published table and its target. */
sealed interface TableChange {
    /** Priority of a level change; removals have a higher one, and changed weights a lower one. */
    double LEVEL_PRIORITY = 1;

    RoutingTable table();

    /** Whether it changes a weight that is already published. */
    boolean changesWeight();

    /** Changes of higher priority are sent first. */
    double priority();

    /** A new admission level for a table's class. */
    record Level(RoutingTable table, double level) implements TableChange {
        @Override
        public boolean changesWeight() {
            return false;
        }

        @Override
        public double priority() {
            return LEVEL_PRIORITY;
        }
    }

    /** A new weight for a table's entry; 0 removes it. */
    record Entry(Route route, double weight, double priority) implements TableChange {
        @Override
        public RoutingTable table() {
            return route.table();
        }

        @Override
        public boolean changesWeight() {
            return !isNew();
        }

        boolean isRemoval() {
            return weight == 0;
        }

        boolean isNew() {
            return route.publishedWeight() == 0;
        }

        boolean isDecrease() {
            return weight < route.publishedWeight();
        }

        boolean isMoreThanHalved() {
            return 2 * weight < route.publishedWeight();
        }

        boolean isMoreThanDoubled() {
            return route.publishedWeight() > 0 && weight > 2 * route.publishedWeight();
        }
    }
}
