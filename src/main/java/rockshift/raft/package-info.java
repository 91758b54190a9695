/**
 * The Raft protocol alone: elections, the replicated log, membership, snapshots, reads and
 * sessions, as decisions on messages and time that are handed in. It owns what one member knows and
 * promises. It must never do I/O, read a clock, start a thread or draw chance of its own, and
 * nothing in it knows what the agreed entries mean.
 */
package rockshift.raft;
