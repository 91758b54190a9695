/**
 * A member of the agreement as it runs: its connections and threads, and what is agreed. It must
 * never use the proxies' listener, decide what stands in a table, or promise anything before it is
 * durable. The protocol's decisions are {@code rockshift.raft}'s, the files {@code
 * rockshift.storage}'s.
 */
package rockshift.cluster;
