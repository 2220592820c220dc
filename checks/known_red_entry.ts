/** A test that KNOWN-RED.txt lists because a known fault makes it fail. */
export interface KnownRedEntry {
  /** The full title as the test runner prints it. */
  readonly title: string;
  /** The command and seed, the observed failure, and the issue. */
  readonly note: string;
}
