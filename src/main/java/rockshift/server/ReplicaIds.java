package rockshift.server;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The ids of replicas in the planner, derived from their names in discovery. */
final class ReplicaIds {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaIds.class);

    private ReplicaIds() {}

    /**
     * Returns the id of a replica: the leading 63 bits of the SHA-256 hash of its name, and so the
     * same at every controller and after every start.
     */
    static long idOf(String name) {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(name.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong() >>> 1;
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }

    /**
     * Records a replica's name. Two names with the same id count as one replica; this is logged,
     * because only an operator can rename one of them.
     */
    static void putName(Map<Long, String> names, long id, String name) {
        String before = names.put(id, name);
        if (before != null && !before.equals(name)) {
            LOG.error(
                    "replica id collision, rename one of the replicas: id={} names={},{}",
                    id,
                    before,
                    name);
        }
    }
}
