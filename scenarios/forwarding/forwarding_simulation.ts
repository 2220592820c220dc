import type { CallState } from "../../src/calls/call_state.ts";
import type { ForwardedAttempt } from "./forwarded_attempt.ts";

/** A simulation of a call at the node that received it, with its attempts at three other nodes. */
export interface ForwardingSimulation {
  /** Milliseconds since the Unix epoch. */
  now: number;
  call: CallState;
  readonly attempts: ForwardedAttempt[];
  /** Whether an outcome query for the current attempt is pending. */
  outcomeQueryPending: boolean;
  /**
   * The outcome for the caller: `answered`, `not-run`, `unknown`, `broken` or
   * `abandoned`; a second outcome, which is a fault, is appended after a comma.
   * Undefined while the call has none.
   */
  outcome: string | undefined;
}
