import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallPlan } from "./call_plan.ts";
import type { CallResult } from "./call_result.ts";

/** A call and the state of its attempts. Mutable. */
export interface CallProgress {
  readonly plan: CallPlan;
  /** Number of attempts so far, each to one backend server. */
  attempts: number;
  /** Whether an attempt may have been run by a backend server. */
  mayHaveRun: boolean;
  /**
   * Identifiers of backend servers that receive no further offer of the call.
   */
  readonly excluded: Set<string>;
  /**
   * Expected waits in milliseconds that full gates reported, by identifier of
   * the backend server.
   */
  readonly reportedWaits: Map<string, number>;
  /** Number of refusals by full gates. */
  fullRefusals: number;
  /** Reason of the last refusal or loss. */
  lastReason: RefusalReason | undefined;
  /**
   * The last failed answer that led to a retry. It is returned if no later
   * attempt is answered.
   */
  fallback: CallResult | undefined;
  /**
   * Whether the second round of offers has begun. It begins when the first round
   * found no free slot: no candidate is left, or enough gates were full. In the
   * second round the call may wait for a slot, also at gates known to be full.
   */
  isWaitingRound: boolean;
}
