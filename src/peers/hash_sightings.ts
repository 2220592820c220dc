import { hashText } from "../hashing/hash_text.ts";
import type { VmSighting } from "./vm_sighting.ts";

/** Returns a 32-bit hash of sightings, independent of the order. */
export function hashSightings(sightings: readonly VmSighting[]): number {
  return sightings.reduce(
    (hash, { vm, at }) => (hash ^ hashText(`${vm}/${at}`)) >>> 0,
    0,
  );
}
