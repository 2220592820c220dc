import type { SoakFault } from "./soak_fault.ts";
import type { SoakViolation } from "./soak_violation.ts";

/** The outcome of one soak. */
export interface SoakReport {
  readonly seed: number;
  readonly faults: readonly SoakFault[];
  readonly calls: number;
  /** Calls by the status that their callers saw; 0 for none. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly violations: readonly SoakViolation[];
  /** The last lines of each node, where a promise was broken. */
  readonly logs: readonly string[];
}
