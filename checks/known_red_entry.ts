/** A test that is known to fail for a real fault, as listed in KNOWN-RED.txt. */
export interface KnownRedEntry {
  /** The full title that the test runner prints. */
  readonly title: string;
  /** Command and seed, what was seen, and the issue. */
  readonly note: string;
}
