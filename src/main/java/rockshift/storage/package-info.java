/**
 * The persistent state of a member, in a folder on disk: {@link rockshift.storage.DurableLog} on
 * top of a {@link rockshift.storage.Disk}. The package owns the file formats and the order of
 * writes and syncs. It makes no decisions of the protocol.
 *
 * <h2>Files</h2>
 *
 * <p>Numbers are big-endian. {@code N} and {@code I} in file names stand for 16 hexadecimal digits.
 * A file whose name ends in {@code .new} is left over from a replacement that a crash interrupted,
 * and is deleted. A file whose name ends in {@code .damaged} was set aside and is not read.
 *
 * <table>
 *   <caption>The files of a folder</caption>
 *   <tr><th>file</th><th>content</th></tr>
 *   <tr><td>{@code lock}</td><td>empty; locked while a process uses the folder</td></tr>
 *   <tr><td>{@code identity}</td><td>one record IDENTITY: format (1), member, cluster (0 until it
 *       belongs to one)</td></tr>
 *   <tr><td>{@code known-cluster}</td><td>one record KNOWN_CLUSTER, once the member has heard of a
 *       cluster that did not contain it</td></tr>
 *   <tr><td>{@code log-N}</td><td>a segment: header, then records; segments are numbered without
 *       gaps</td></tr>
 *   <tr><td>{@code snapshot-I}</td><td>one record SNAPSHOT, of the state after entry I</td></tr>
 * </table>
 *
 * <table>
 *   <caption>The header of a segment</caption>
 *   <tr><th>byte</th><th>field</th></tr>
 *   <tr><td>0</td><td>magic u32, "RSLG"</td></tr>
 *   <tr><td>4</td><td>format u32</td></tr>
 *   <tr><td>8</td><td>number of the segment u64</td></tr>
 *   <tr><td>16</td><td>member u64</td></tr>
 *   <tr><td>24</td><td>CRC32C u32 of bytes 0 to 23</td></tr>
 * </table>
 *
 * <table>
 *   <caption>A record</caption>
 *   <tr><th>byte</th><th>field</th></tr>
 *   <tr><td>0</td><td>length u32 of the payload</td></tr>
 *   <tr><td>4</td><td>CRC32C u32 of kind and payload</td></tr>
 *   <tr><td>8</td><td>kind u8</td></tr>
 *   <tr><td>9</td><td>payload, a CBOR array</td></tr>
 * </table>
 *
 * <table>
 *   <caption>Kinds of records</caption>
 *   <tr><th>kind</th><th>payload</th></tr>
 *   <tr><td>1 BATCH</td><td>bytes of this file that were durable before this write</td></tr>
 *   <tr><td>2 TERM_AND_VOTE</td><td>term, member voted for (0: none)</td></tr>
 *   <tr><td>3 ENTRY</td><td>index, term, kind, session, serial, body, members</td></tr>
 *   <tr><td>4 SNAPSHOT_INSTALLED</td><td>index, term; all entries before this record are
 *       discarded</td></tr>
 *   <tr><td>5 IDENTITY</td><td>format, member, cluster</td></tr>
 *   <tr><td>6 SNAPSHOT</td><td>index, term, members, image of sessions and state</td></tr>
 *   <tr><td>7 KNOWN_CLUSTER</td><td>cluster</td></tr>
 * </table>
 *
 * <h2>Order of writes</h2>
 *
 * <p>A save consists of one BATCH, then TERM_AND_VOTE if it changed, SNAPSHOT_INSTALLED if the
 * leader sent a snapshot, and the entries. It is appended to the last segment and synced. A
 * snapshot is saved before the batch that refers to it. Snapshots, the identity, the known cluster
 * and new segments are written to a temporary file, synced and renamed. A new segment begins with
 * TERM_AND_VOTE, as older segments may be deleted: this happens once both of the two newest
 * snapshots include all their entries.
 *
 * <h2>Torn tails and damage</h2>
 *
 * <p>After a crash the last segment may end with a part of a save that was never acknowledged: at
 * some byte T there is a record that is cut short or has a wrong checksum. The segment is truncated
 * at T. Such a record is damage instead, and the folder is rejected with {@link
 * rockshift.storage.CorruptRecordException}, if a later BATCH in the file records that more than T
 * bytes were durable before it, or if another segment follows. Whether the very last batch was
 * torn, or damaged later, cannot be distinguished; it is truncated.
 */
package rockshift.storage;
