import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallEnd } from "./call_end.ts";
import type { CallPlan } from "./call_plan.ts";

/** A call with what it has been through so far. Changed in place. */
export interface CallRun {
  readonly plan: CallPlan;
  /** Backend servers that the request was sent to. */
  attempts: number;
  /** Whether one of them may have run it. */
  mayHaveRun: boolean;
  /** Backend servers that are not asked again, by identifier. */
  readonly asked: Set<string>;
  /** Expected waits in milliseconds that full gates told, by identifier. */
  readonly waits: Map<string, number>;
  /** How often a gate said that it is full. */
  fullRefusals: number;
  lastReason: RefusalReason | undefined;
  /** An answer that is delivered where no repeat does better. */
  fallback: CallEnd | undefined;
  /** Whether the call may now wait for a slot, since none was free at once. */
  mayWait: boolean;
}
