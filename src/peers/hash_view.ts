import { getAllRecords } from "./get_all_records.ts";
import { hashRecords } from "./hash_records.ts";
import { hashSightings } from "./hash_sightings.ts";
import type { PeersState } from "./peers_state.ts";

/** Returns a 32-bit hash of all records and sightings that the node stores. */
export function hashView(peers: PeersState): number {
  return (hashRecords(getAllRecords(peers)) ^
    hashSightings([...peers.sightings.values()])) >>> 0;
}
