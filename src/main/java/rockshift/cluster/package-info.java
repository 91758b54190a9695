/**
 * A running member of the cluster: its connections and threads, and the agreed state. This package
 * must never use the proxies' listener, decide the content of a routing table, or acknowledge
 * anything before it is durable. The Raft protocol is in {@code rockshift.raft}, the files are in
 * {@code rockshift.storage}.
 */
package rockshift.cluster;
