package rockshift.distribution;

/**
 * An update with what it replaced in the store.
 *
 * @param serviceBefore whom the item concerned before; null if there was none
 * @param zoneBefore likewise
 * @param digestBefore the item's digest before; 0 if there was none
 * @param digestAfter the item's digest now; 0 if it is gone
 */
record ItemChange(
        Update update,
        String serviceBefore,
        String zoneBefore,
        long digestBefore,
        long digestAfter) {

    /** Whether a scope held the item before. */
    boolean matchedBefore(Scope scope) {
        return serviceBefore != null && scope.matches(serviceBefore, zoneBefore);
    }
}
