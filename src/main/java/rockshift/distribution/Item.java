package rockshift.distribution;

import java.util.Arrays;
import java.util.Objects;

/**
 * One piece of configuration. The value is opaque here and must not be changed by whoever holds it.
 *
 * @param key names the item; unique in a state
 * @param service whom it concerns; empty: every service
 * @param zone whom it concerns; empty: every zone
 * @param value the content
 */
public record Item(String key, String service, String zone, byte[] value) {
    private static final int OVERHEAD_BYTES = 16;

    /** Fails on a null part. */
    public Item {
        Objects.requireNonNull(key);
        Objects.requireNonNull(service);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(value);
    }

    /** About how many bytes the item takes in a message. */
    public int bytes() {
        return key.length() + service.length() + zone.length() + value.length + OVERHEAD_BYTES;
    }

    /**
     * A 64-bit digest; the digest of a state is the sum of its items', so that it can follow each
     * change.
     */
    public long digest() {
        return Digest.of(this);
    }

    /** The item without its value, as a deletion names it. */
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
