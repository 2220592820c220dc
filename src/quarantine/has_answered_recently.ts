import type { QuarantineState } from "./quarantine_state.ts";

/**
 * Time for which an answer clears a request. A request that crashes backend
 * servers is never answered, a popular one is within that time.
 */
const clearedMilliseconds = 30_000;

/** Whether the backend server of this VM has answered the request of late. */
export function hasAnsweredRecently(
  state: QuarantineState,
  options: { readonly fingerprint: string; readonly now: number },
): boolean {
  const answeredAt = state.answeredAt.get(options.fingerprint);
  return answeredAt !== undefined &&
    options.now < answeredAt + clearedMilliseconds;
}
