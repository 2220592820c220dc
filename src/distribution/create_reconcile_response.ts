import type * as z from "zod";
import { getAllRecords } from "../peers/get_all_records.ts";
import { groupRecords } from "../peers/group_records.ts";
import { hashRecords } from "../peers/hash_records.ts";
import { hashSightings } from "../peers/hash_sightings.ts";
import type { PeersState } from "../peers/peers_state.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { reconcileResponseSchema } from "./reconcile_response_schema.ts";
import type { reconcileRequestSchema } from "./reconcile_request_schema.ts";

/**
 * Returns the records of the buckets whose hashes differ from the peer's, up to
 * `recordsPerReconcile`, and all sightings if their hashes differ.
 */
export function createReconcileResponse(
  peers: PeersState,
  request: z.infer<typeof reconcileRequestSchema>,
): z.infer<typeof reconcileResponseSchema> {
  const differing = groupRecords(getAllRecords(peers), request.buckets.length)
    .filter((records, index) => hashRecords(records) !== request.buckets[index])
    .flat();
  const sightings = [...peers.sightings.values()];
  return {
    records: differing.slice(0, distributionLimits.recordsPerReconcile),
    sightings: hashSightings(sightings) === request.sightingsHash
      ? []
      : sightings,
    hasMore: differing.length > distributionLimits.recordsPerReconcile,
  };
}
