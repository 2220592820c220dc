/** The titles of the tests that passed and failed in a run. */
export interface TestReport {
  readonly passed: readonly string[];
  readonly failed: readonly string[];
  /** Whether the output has the plan line, which the test runner prints only at the end of a run. */
  readonly complete: boolean;
}
