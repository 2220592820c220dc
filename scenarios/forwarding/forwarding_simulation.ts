import type { CallState } from "../../src/calls/call_state.ts";
import type { ForwardedAttempt } from "./forwarded_attempt.ts";

/** One call on the node that took it, with its tries at three other nodes. */
export interface ForwardingSimulation {
  now: number;
  call: CallState;
  readonly attempts: ForwardedAttempt[];
  /** Whether the outcome of the current try is being asked for. */
  outcomeQueryPending: boolean;
  /** What the caller was told: `answered`, `not-run`, `unknown`, `broken` or `abandoned`. */
  outcome: string | undefined;
}
