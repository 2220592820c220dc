/** The titles that a test run printed in the Test Anything Protocol. */
export interface TestReport {
  readonly passed: readonly string[];
  readonly failed: readonly string[];
  /** Whether the run printed its plan, which it does only when it came to its end. */
  readonly complete: boolean;
}
