import type { CallPriority } from "../configuration/call_priority.ts";

/** How one call from a caller ended, for the metrics. */
export interface CallObservation {
  /** Empty where no route fitted. */
  readonly service: string;
  readonly priority: CallPriority;
  /** `answered`, `abandoned`, or the reason of the refusal. */
  readonly result: string;
  /** Time from the call's arrival to its end, in milliseconds. */
  readonly elapsedMilliseconds: number;
}
