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

/** The shape of both directions of an exchange. */
export const exchangeMessageSchema = createStrictObjectSchema({
  /** The sender's own record. */
  record: peerRecordSchema,
  /** The highest version that the sender holds whole; absent where it holds none, or is still asking its peers after a start. */
  heldVersion: versionSchema.optional(),
  /** Over every record, the own one with them, and every sighting that the sender holds. */
  viewHash: createWholeNumberSchema(0, maxHash),
  /** Records that have changed lately. */
  records: createListSchema(peerRecordSchema),
  sightings: createListSchema(vmSightingSchema),
  /** The latest instant at which any node known to the sender heard from the platform. */
  platformHeardAt: instantSchema,
  /** The content that the sender's notice of a refusal is about, so that the other side can send its own. */
  refusedContent: digestSchema.optional(),
  refusal: refusalNoticeSchema.optional(),
});
