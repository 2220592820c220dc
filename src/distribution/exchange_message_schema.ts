import { createListSchema } from "../configuration/create_list_schema.ts";
import { createWholeNumberSchema } from "../configuration/create_whole_number_schema.ts";
import { digestSchema } from "../configuration/digest_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { instantSchema } from "./instant_schema.ts";
import { peerRecordSchema } from "./peer_record_schema.ts";
import { refusalNoticeSchema } from "./refusal_notice_schema.ts";
import { versionSchema } from "./version_schema.ts";
import { vmSightingSchema } from "./vm_sighting_schema.ts";

const maxHash = 0xffff_ffff;

/** The schema of an exchange message, in both directions. */
export const exchangeMessageSchema = createStrictObjectSchema({
  /** The sender's own record. */
  record: peerRecordSchema,
  /**
   * The highest version that the sender stores completely; absent if it stores
   * none, or while its startup query is not complete.
   */
  heldVersion: versionSchema.optional(),
  /**
   * A hash of all records and sightings that the sender stores, including its
   * own record.
   */
  viewHash: createWholeNumberSchema(0, maxHash),
  /** Recently changed records. */
  records: createListSchema(peerRecordSchema),
  sightings: createListSchema(vmSightingSchema),
  /**
   * The latest instant at which the platform responded to any node, as far as
   * reported to the sender.
   */
  platformHeardAt: instantSchema,
  /**
   * The digest of the content in the sender's refusal notice, so that the other
   * node can send its own notice if it differs.
   */
  refusedContent: digestSchema.optional(),
  refusal: refusalNoticeSchema.optional(),
});
