/**
 * The wire format between members, relays and commands: frames with checksums, CBOR readers and
 * writers, the encoding of Raft types, and a connection that exchanges frames. Independent of the
 * content of the agreed state.
 */
package rockshift.wire;
