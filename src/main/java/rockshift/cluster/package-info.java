/**
 * A member of the agreement as it runs: its durable log, its wire, its sockets and threads, and
 * what is agreed. It owns the folder on disk and the listener of its own. It must never use the
 * platform's listener, decide what stands in a table, or promise anything before it is durable; the
 * protocol's decisions are {@code rockshift.raft}'s.
 */
package rockshift.cluster;
