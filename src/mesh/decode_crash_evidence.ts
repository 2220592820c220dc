import type { CrashEvidence } from "../quarantine/crash_evidence.ts";
import { crashEvidenceSchema } from "../quarantine/crash_evidence_schema.ts";
import { tryParseJson } from "../daemon/try_parse_json.ts";

/** Decodes the evidence of another node; returns none for a malformed one. */
export function decodeCrashEvidence(text: string): readonly CrashEvidence[] {
  const parsed = crashEvidenceSchema.safeParse(tryParseJson(text));
  return parsed.success ? parsed.data : [];
}
