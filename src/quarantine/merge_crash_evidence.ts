import { setBounded } from "../collections/set_bounded.ts";
import type { CrashEvidence } from "./crash_evidence.ts";
import { hasAnsweredRecently } from "./has_answered_recently.ts";
import type { QuarantineState } from "./quarantine_state.ts";

/** Bounds the memory to about a megabyte. */
const suspectsMaximum = 4_096;
/** More crashes than lead to the longest quarantine need no identifier. */
const crashIdentifiersMaximum = 8;
/**
 * Crashes that become known closer together have a common cause, such as a rack
 * that lost power, and count as one.
 */
const commonCauseMilliseconds = 20;

/**
 * Adds evidence about a request. Evidence that was merged before changes
 * nothing, so it may arrive more than once and by several ways. Returns whether
 * more crashes count against the request than before. `now` is in milliseconds
 * since the Unix epoch.
 */
export function mergeCrashEvidence(
  state: QuarantineState,
  options: { readonly evidence: CrashEvidence; readonly now: number },
): boolean {
  const { evidence, now } = options;
  const { fingerprint } = evidence;
  if (hasAnsweredRecently(state, { fingerprint, now })) return false;
  const known = state.suspects.get(fingerprint);
  const knownIdentifiers = known?.crashIdentifiers ?? [];
  const added = evidence.crashIdentifiers.filter((identifier) =>
    !knownIdentifiers.includes(identifier)
  );
  if (added.length === 0) return false;
  const hasCommonCause = known !== undefined &&
    now < known.lastCrashAt + commonCauseMilliseconds;
  const counted = (known?.crashes ?? 0) + (hasCommonCause ? 0 : 1);
  const crashes = Math.max(counted, evidence.crashes);
  const crashIdentifiers = [...knownIdentifiers, ...added]
    .slice(-crashIdentifiersMaximum);
  setBounded(state.suspects, {
    key: fingerprint,
    value: { crashIdentifiers, crashes, lastCrashAt: now },
    sizeMaximum: suspectsMaximum,
  });
  return crashes > (known?.crashes ?? 0);
}
