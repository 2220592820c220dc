import * as z from "zod";
import { createListSchema } from "../configuration/create_list_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { peerRecordSchema } from "./peer_record_schema.ts";
import { vmSightingSchema } from "./vm_sighting_schema.ts";

/** The shape of the answer to a comparison of all records. */
export const reconcileAnswerSchema = createStrictObjectSchema({
  /** Every record of the buckets that differ, up to a bound. */
  records: createListSchema(peerRecordSchema),
  /** Every sighting, where they differ. */
  sightings: createListSchema(vmSightingSchema),
  /** Whether the bound left some buckets out. */
  hasMore: z.boolean({ error: "true or false" }),
});
