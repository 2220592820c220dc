import type { CrashEvidence } from "./crash_evidence.ts";
import { createCrashEvidence } from "./create_crash_evidence.ts";
import { hasAnsweredRecently } from "./has_answered_recently.ts";
import { mergeCrashEvidence } from "./merge_crash_evidence.ts";
import type { QuarantineState } from "./quarantine_state.ts";

/**
 * Records a crash of the backend server of this VM and returns the evidence for
 * the other nodes.
 *
 * All requests that were running are suspected, but for those that were answered
 * of late. If some of them ran in earlier crashes as well, only those with the
 * most are: the others ran beside them.
 */
export function recordCrash(
  state: QuarantineState,
  options: {
    readonly crashIdentifier: string;
    /** Fingerprints of the requests that were running. */
    readonly running: readonly string[];
    /** In milliseconds since the Unix epoch. */
    readonly now: number;
  },
): readonly CrashEvidence[] {
  const { crashIdentifier, running, now } = options;
  const candidates = running.filter((fingerprint) =>
    !hasAnsweredRecently(state, { fingerprint, now })
  );
  const getCrashes = (fingerprint: string) =>
    state.suspects.get(fingerprint)?.crashes ?? 0;
  const most = Math.max(0, ...candidates.map(getCrashes));
  return candidates
    .filter((fingerprint) => getCrashes(fingerprint) === most)
    .flatMap((fingerprint) => {
      mergeCrashEvidence(state, {
        evidence: {
          fingerprint,
          crashIdentifiers: [crashIdentifier],
          crashes: 1,
        },
        now,
      });
      const suspect = state.suspects.get(fingerprint);
      return suspect === undefined
        ? []
        : [createCrashEvidence(fingerprint, suspect)];
    });
}
