import type { TargetVerdict } from "./target_verdict.ts";

/** A stated target beside what was measured. */
export interface TargetCheck {
  readonly target: string;
  readonly measured: string;
  readonly verdict: TargetVerdict;
}
