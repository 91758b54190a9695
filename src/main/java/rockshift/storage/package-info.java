/**
 * The durable log: entries, term and vote, and snapshots in a folder on disk. It owns the files'
 * format and the order of writes and syncs. It decides nothing of the protocol.
 */
package rockshift.storage;
