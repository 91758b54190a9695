package rockshift.distribution;

/**
 * An update together with the item that it replaced in the store.
 *
 * @param serviceBefore the service of the replaced item; null if there was none
 * @param zoneBefore the zone of the replaced item; null if there was none
 * @param digestBefore the digest of the replaced item; 0 if there was none
 * @param digestAfter the digest of the new item; 0 if the item was deleted
 */
record ItemChange(
        Update update,
        String serviceBefore,
        String zoneBefore,
        long digestBefore,
        long digestAfter) {

    /** Returns whether the replaced item was in a scope. */
    boolean matchedBefore(Scope scope) {
        return serviceBefore != null && scope.matches(serviceBefore, zoneBefore);
    }
}
