package rockshift.distribution;

import java.util.Arrays;
import java.util.Objects;

/**
 * One piece of configuration. The value is opaque to this package and must not be modified.
 *
 * @param key the item's name, unique within a state
 * @param service the service that the item applies to; empty: every service
 * @param zone the zone that the item applies to; empty: every zone
 * @param value the content
 */
public record Item(String key, String service, String zone, byte[] value) {
    private static final int OVERHEAD_BYTES = 16;

    /** Requires all components to be non-null. */
    public Item {
        Objects.requireNonNull(key);
        Objects.requireNonNull(service);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(value);
    }

    /** Returns the approximate encoded size in bytes. */
    public int bytes() {
        return key.length() + service.length() + zone.length() + value.length + OVERHEAD_BYTES;
    }

    /**
     * Returns the 64-bit digest of the item. The digest of a state is the sum of the digests of its
     * items, so that it can be updated incrementally.
     */
    public long digest() {
        return Digest.of(this);
    }

    /** Returns the item without its value, as it appears in a deletion. */
    public Item withoutValue() {
        return new Item(key, service, zone, new byte[0]);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Item item
                && key.equals(item.key)
                && service.equals(item.service)
                && zone.equals(item.zone)
                && Arrays.equals(value, item.value);
    }

    @Override
    public int hashCode() {
        return 31 * Objects.hash(key, service, zone) + Arrays.hashCode(value);
    }

    @Override
    public String toString() {
        return key + "[" + service + "@" + zone + ", " + value.length + " bytes]";
    }
}
