import type { SoakFault } from "./soak_fault.ts";
import type { SoakViolation } from "./soak_violation.ts";

/** The result of one soak. */
export interface SoakReport {
  readonly seed: number;
  readonly faults: readonly SoakFault[];
  /** Number of calls. */
  readonly calls: number;
  /** Number of calls by the status that their caller received; 0 stands for none. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly violations: readonly SoakViolation[];
  /** The last output lines of each node if a promise was broken, else empty. */
  readonly logs: readonly string[];
}
