/** What the tests of one row showed. */
export enum ProofVerdict {
  /** At least one test ran and every one passed. */
  Proved = "proved",
  /** A test failed. */
  Red = "red",
  /** No test ran. */
  NotProved = "not proved",
}
