import { CallKind } from "../routing/call_kind.ts";
import type { CallProgress } from "./call_progress.ts";

/**
 * Returns whether a call may have another attempt after the present one, if that
 * may have run. The retry budget may still forbid it.
 */
export function canRetryAfterAttempt(progress: CallProgress): boolean {
  const { route } = progress.plan;
  return route.kind === CallKind.Idempotent &&
    progress.attempts + 1 < route.attemptsMaximum;
}
