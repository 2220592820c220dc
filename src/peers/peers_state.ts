import type { VmEntry } from "../platform/vm_entry.ts";
import type { KnownPeer } from "./known_peer.ts";
import type { PeerRecord } from "./peer_record.ts";
import type { VmSighting } from "./vm_sighting.ts";

/** What a node knows of the other nodes. */
export interface PeersState {
  readonly own: PeerRecord;
  /** When a change that can wait may next raise the sequence of the own record. */
  readonly nextRefreshAt: number;
  /** The latest record of every other node, by VM. */
  readonly records: ReadonlyMap<string, PeerRecord>;
  /** The nodes that may be asked, by address. */
  readonly known: ReadonlyMap<string, KnownPeer>;
  /** The platform's list as last read, by VM; undefined until then. */
  readonly listedVms: ReadonlyMap<string, VmEntry> | undefined;
  /** Since when the platform shows an implausible list, in milliseconds since the Unix epoch; undefined for a plausible one. */
  readonly listDoubtedSince: number | undefined;
  /** VMs that the platform's list once showed as leaving or gone, by VM. */
  readonly sightings: ReadonlyMap<string, VmSighting>;
  /** How many more times a changed record is sent on, by VM. */
  readonly recordSends: ReadonlyMap<string, number>;
  /** How many more times a changed sighting is sent on, by VM. */
  readonly sightingSends: ReadonlyMap<string, number>;
}
