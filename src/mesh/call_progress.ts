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
  /** A failed answer that is returned if no retry yields a better result. */
  fallback: CallResult | undefined;
  /**
   * Whether the second round has begun, in which the call may wait for a slot,
   * since no candidate had a free one.
   */
  isWaitingRound: boolean;
}
