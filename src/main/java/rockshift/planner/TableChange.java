package rockshift.planner;

/** A difference between what is published and what should be. */
sealed interface TableChange {
    /** Priority of a level; removals come before it, and changed weights after. */
    double LEVEL_PRIORITY = 1;

    RoutingTable table();

    /** Whether it changes a weight that is published already. */
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
