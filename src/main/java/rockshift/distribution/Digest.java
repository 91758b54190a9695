package rockshift.distribution;

/**
 * The 64-bit hash used for the digests of items and for the fingerprint of a roster: FNV-1a with a
 * final mixing step. It detects accidental differences, not deliberate ones.
 */
final class Digest {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Digest() {}

    static long of(Item item) {
        long hash = addText(addText(addText(OFFSET, item.key()), item.service()), item.zone());
        for (byte value : item.value()) {
            hash = (hash ^ (value & 0xff)) * PRIME;
        }
        return mix(hash);
    }

    static long of(String name) {
        return mix(addText(OFFSET, name));
    }

    private static long addText(long start, String text) {
        long hash = start;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * PRIME;
        }
        return (hash ^ text.length() ^ 0x1_0000) * PRIME;
    }

    private static long mix(long hash) {
        long mixed = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
