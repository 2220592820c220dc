import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallResult } from "./call_result.ts";
import type { CallPlan } from "./call_plan.ts";

/** A call with what it has been through so far. Changed in place. */
export interface CallProgress {
  readonly plan: CallPlan;
  /** Backend servers that the request was sent to. */
  attempts: number;
  /** Whether one of them may have run it. */
  mayHaveRun: boolean;
  /** Backend servers that are not asked again, by identifier. */
  readonly excluded: Set<string>;
  /** Expected waits in milliseconds that full gates told, by identifier. */
  readonly reportedWaits: Map<string, number>;
  /** How often a gate said that it is full. */
  fullRefusals: number;
  lastReason: RefusalReason | undefined;
  /** An answer that is delivered where no repeat does better. */
  fallback: CallResult | undefined;
  /** Whether the call may now wait for a slot, since none was free at once. */
  isWaitingRound: boolean;
}
