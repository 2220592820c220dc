import type { CallResult } from "./call_result.ts";
import type { PlannedCall } from "./planned_call.ts";

/** One attempt of a call, with its result. */
export interface CallRecord {
  readonly call: PlannedCall;
  readonly result: CallResult;
  /** In milliseconds since the Unix epoch. */
  readonly sentAt: number;
}
