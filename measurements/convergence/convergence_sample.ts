import type { ConvergenceCondition } from "./convergence_condition.ts";

/** How one version spread. */
export interface ConvergenceSample {
  readonly deployment: string;
  readonly condition: ConvergenceCondition;
  readonly isBaseline: boolean;
  /** Time from the platform's acceptance to in force on each node, in milliseconds. */
  readonly milliseconds: readonly number[];
}
