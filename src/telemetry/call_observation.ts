import type { CallPriority } from "../configuration/call_priority.ts";

/** The result of one call of a caller, for the metrics. */
export interface CallObservation {
  /** Empty if no route matched. */
  readonly service: string;
  readonly priority: CallPriority;
  /** `answered`, `abandoned`, or the reason of the refusal. */
  readonly result: string;
  /** Time from the call's arrival to its end, in milliseconds. */
  readonly elapsedMilliseconds: number;
}
