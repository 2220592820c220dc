import { createListSchema } from "../configuration/create_list_schema.ts";
import { createWholeNumberSchema } from "../configuration/create_whole_number_schema.ts";
import { createStrictObject } from "../diagnostics/create_strict_object.ts";

const hashSchema = createWholeNumberSchema(0, 0xffff_ffff);

/** The schema of a request to compare all records. */
export const reconcileRequestSchema = createStrictObject({
  /**
   * A hash of the records in each bucket. The bucket of a VM is determined by
   * its name.
   */
  buckets: createListSchema(hashSchema),
  /** A hash of all sightings of VMs. */
  sightingsHash: hashSchema,
});
