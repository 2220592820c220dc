import type { CrashEvidence } from "./crash_evidence.ts";
import type { Suspect } from "./suspect.ts";

/** Returns what other nodes are told of a suspect. */
export function createCrashEvidence(
  fingerprint: string,
  { crashIdentifiers, crashes }: Suspect,
): CrashEvidence {
  return { fingerprint, crashIdentifiers, crashes };
}
