import type { ConvergenceCondition } from "./convergence_condition.ts";

/** The propagation of one version. */
export interface ConvergenceSample {
  readonly deployment: string;
  readonly condition: ConvergenceCondition;
  /** Whether plain nodes ran in place of nodes. */
  readonly isBaseline: boolean;
  /** Time from the platform's acceptance until the version was in force, by node. */
  readonly milliseconds: readonly number[];
}
