import type { CallStage } from "./call_stage.ts";

/** The cost of the calls of one case, both nodes together. */
export interface StageResult {
  readonly answered: number;
  readonly failed: number;
  /** Processor time of a call. */
  readonly callMicroseconds: number;
  /** Processor time of both processes from their start to the first calls. */
  readonly startMilliseconds: number;
  /** Processor time of a call by stage, in microseconds; empty without profiles. */
  readonly stages: ReadonlyMap<CallStage, number>;
}
