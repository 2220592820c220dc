import * as z from "zod";
import { createListSchema } from "../configuration/create_list_schema.ts";
import { digestSchema } from "../configuration/digest_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { instantSchema } from "./instant_schema.ts";
import { versionSchema } from "./version_schema.ts";

const textSchema = z.string({ error: "a string" }).max(4096, {
  error: "a string of at most 4096 characters",
});

/** The schema of a refusal notice. */
export const refusalNoticeSchema = createStrictObjectSchema({
  /**
   * SHA-256 of the published document, so that each refusal is reported once.
   */
  contentDigest: digestSchema,
  /** Absent if the document was too malformed to have a version. */
  version: versionSchema.optional(),
  reasons: createListSchema(createStrictObjectSchema({
    code: z.enum(DiagnosticCode, { error: "a diagnostic code" }),
    path: textSchema,
    found: textSchema,
    allowed: textSchema,
  })),
  /**
   * The version in force on the node that refused; a newer one makes the notice
   * obsolete.
   */
  inForce: versionSchema.optional(),
  observedAt: instantSchema,
});
