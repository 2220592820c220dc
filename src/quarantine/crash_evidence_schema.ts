import * as z from "zod";

const fingerprintLengthMaximum = 64;
const crashIdentifierLengthMaximum = 200;
const identifiersMaximum = 64;
const evidenceMaximum = 8_192;

/** The schema of the evidence that another node sends. */
export const crashEvidenceSchema = z.array(z.object({
  fingerprint: z.string().max(fingerprintLengthMaximum),
  crashIdentifiers: z.array(z.string().max(crashIdentifierLengthMaximum))
    .max(identifiersMaximum),
  crashes: z.int().min(0),
})).max(evidenceMaximum);
