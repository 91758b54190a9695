/**
 * What travels between members, relays and commands: frames with checksums, CBOR readers and
 * writers, the encoding of Raft's types, and a connection that carries frames. Independent of what
 * is agreed.
 */
package rockshift.wire;
