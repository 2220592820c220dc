import { createListSchema } from "../configuration/create_list_schema.ts";
import { createWholeNumberSchema } from "../configuration/create_whole_number_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";

const hashSchema = createWholeNumberSchema(0, 0xffff_ffff);

/** The schema of a request to compare all records. */
export const reconcileRequestSchema = createStrictObjectSchema({
  /**
   * A hash of the records in each bucket. The bucket of a VM is determined by
   * its name.
   */
  buckets: createListSchema(hashSchema),
  /** A hash of all sightings of VMs. */
  sightingsHash: hashSchema,
});
