import type { CrashEvidence } from "./crash_evidence.ts";
import { createCrashEvidence } from "./create_crash_evidence.ts";
import type { QuarantineState } from "./quarantine_state.ts";

/** Returns all that this node knows, for a node that has just started. */
export function listCrashEvidence(
  state: QuarantineState,
): readonly CrashEvidence[] {
  return Array.from(
    state.suspects,
    ([fingerprint, suspect]) => createCrashEvidence(fingerprint, suspect),
  );
}
