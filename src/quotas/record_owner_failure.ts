import type { HolderState } from "./holder_state.ts";

const retryMillisecondsFirst = 250;
const retryMillisecondsMaximum = 1_000;

/** Records that the owner did not reply; the deputy is asked until the next attempt. */
export function recordOwnerFailure(state: HolderState, now: number): void {
  state.ownerRetryAt = now + Math.min(
    retryMillisecondsMaximum,
    retryMillisecondsFirst * 2 ** state.ownerFailures,
  );
  state.ownerFailures += 1;
}
