import { setBounded } from "../collections/set_bounded.ts";
import type { QuarantineState } from "./quarantine_state.ts";

/** Bounds the memory to about a megabyte. */
const answersMaximum = 8_192;

/**
 * Records that a backend server has run and answered a request, which clears it
 * of any suspicion. `now` is in milliseconds since the Unix epoch.
 */
export function recordAnsweredRequest(
  state: QuarantineState,
  options: { readonly fingerprint: string; readonly now: number },
): void {
  const { fingerprint, now } = options;
  state.suspects.delete(fingerprint);
  setBounded(state.answeredAt, {
    key: fingerprint,
    value: now,
    sizeMaximum: answersMaximum,
  });
}
