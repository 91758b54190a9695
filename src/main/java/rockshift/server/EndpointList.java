package rockshift.server;

import java.util.List;
import java.util.Map;
import rockshift.model.Endpoint;

/**
 * A list of replicas as received from discovery.
 *
 * @param version discovery's version number of the list
 * @param whole whether the entries are all replicas, or only those changed since an older version
 * @param names names of the replicas in discovery, by replica id
 */
record EndpointList(long version, boolean whole, List<Endpoint> entries, Map<Long, String> names) {}
