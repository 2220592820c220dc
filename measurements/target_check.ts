import type { TargetVerdict } from "./target_verdict.ts";

/** A target that the users stated, and the measured value. */
export interface TargetCheck {
  readonly target: string;
  readonly measured: string;
  readonly verdict: TargetVerdict;
}
