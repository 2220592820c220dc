import * as z from "zod";
import { createListSchema } from "../configuration/create_list_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { peerRecordSchema } from "./peer_record_schema.ts";
import { vmSightingSchema } from "./vm_sighting_schema.ts";

/** The schema of the response to a comparison of all records. */
export const reconcileResponseSchema = createStrictObjectSchema({
  /** The records of the buckets that differ, up to a limit. */
  records: createListSchema(peerRecordSchema),
  /** All sightings, if they differ. */
  sightings: createListSchema(vmSightingSchema),
  /** Whether records were omitted because of the limit. */
  hasMore: z.boolean({ error: "true or false" }),
});
