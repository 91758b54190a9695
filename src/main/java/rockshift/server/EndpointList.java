package rockshift.server;

import java.util.List;
import java.util.Map;
import rockshift.model.Endpoint;

/**
 * Discovery's list of replicas as it was received.
 *
 * @param version discovery's number of this state of the list
 * @param whole whether these are all replicas, or those that changed since an older version
 * @param names the replicas' names in discovery by their ids
 */
record EndpointList(long version, boolean whole, List<Endpoint> entries, Map<Long, String> names) {}
