/** The combined result of the tests that carry the tag of a row. */
export enum ProofVerdict {
  /** At least one test ran, and every test that ran passed. */
  Proved = "proved",
  /** At least one test failed. */
  Red = "red",
  /** No test ran. */
  NotProved = "not proved",
}
