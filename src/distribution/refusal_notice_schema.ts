import * as z from "zod";
import { createListSchema } from "../configuration/create_list_schema.ts";
import { digestSchema } from "../configuration/digest_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { instantSchema } from "./instant_schema.ts";
import { versionSchema } from "./version_schema.ts";

const textSchema = z.string({ error: "a text" }).max(4096, {
  error: "a text of at most 4096 characters",
});

/** The shape of a refusal between nodes. */
export const refusalNoticeSchema = createStrictObjectSchema({
  /** SHA-256 over the published text, so that one refusal is reported once. */
  contentDigest: digestSchema,
  /** Absent where the text was too broken to have a version. */
  version: versionSchema.optional(),
  reasons: createListSchema(createStrictObjectSchema({
    code: z.enum(DiagnosticCode, { error: "the number of a diagnostic" }),
    path: textSchema,
    found: textSchema,
    allowed: textSchema,
  })),
  /** The version in force on the node that refused; a newer one ends the notice. */
  inForce: versionSchema.optional(),
  observedAt: instantSchema,
});
