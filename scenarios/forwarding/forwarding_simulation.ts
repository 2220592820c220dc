import type { CallState } from "../../src/calls/call_state.ts";
import type { HandoverTry } from "./forwarded_attempt.ts";

/** One call on the node that took it, with its tries at three other nodes. */
export interface HandoverWorld {
  now: number;
  call: CallState;
  readonly tries: HandoverTry[];
  /** Whether the outcome of the current try is being asked for. */
  questionOpen: boolean;
  /** What the caller was told: `answered`, `not-run`, `unknown`, `broken` or `abandoned`. */
  told: string | undefined;
}
