import type { ConvergenceCondition } from "./convergence_condition.ts";

/** The propagation of one version. */
export interface ConvergenceSample {
  readonly deployment: string;
  readonly condition: ConvergenceCondition;
  /** Whether plain nodes ran in place of nodes. */
  readonly isBaseline: boolean;
  /** Time from the platform's acceptance to in force on each node, in milliseconds. */
  readonly milliseconds: readonly number[];
}
