import type { VmEntry } from "../platform/vm_entry.ts";
import type { KnownPeer } from "./known_peer.ts";
import type { PeerRecord } from "./peer_record.ts";
import type { VmSighting } from "./vm_sighting.ts";

/** A node's view of the other nodes. */
export interface PeersState {
  /** The record of this node. */
  readonly own: PeerRecord;
  /**
   * When deferred changes of this node's record are published, in milliseconds
   * since the Unix epoch; Infinity if there are none.
   */
  readonly nextRefreshAt: number;
  /** The latest record of every other node, by VM. */
  readonly records: ReadonlyMap<string, PeerRecord>;
  /** The nodes that may be called, by address. */
  readonly known: ReadonlyMap<string, KnownPeer>;
  /**
   * The VM list of the platform as last accepted, by VM; undefined until then.
   */
  readonly listedVms: ReadonlyMap<string, VmEntry> | undefined;
  /**
   * Since when the platform returns an implausible list, in milliseconds since
   * the Unix epoch; undefined if the last list was plausible.
   */
  readonly implausibleListSince: number | undefined;
  /** VMs that the list of the platform has shown as leaving or gone, by VM. */
  readonly sightings: ReadonlyMap<string, VmSighting>;
  /** How many more times a changed record is passed on, by VM. */
  readonly remainingRecordSends: ReadonlyMap<string, number>;
  /** How many more times a changed sighting is passed on, by VM. */
  readonly remainingSightingSends: ReadonlyMap<string, number>;
}
