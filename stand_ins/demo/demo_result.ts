/** The result of the demo, written as one line of JSON. Counts are of attempts of calls. */
export interface DemoResult {
  readonly sent: number;
  /** Attempts that received the complete and correct answer. */
  readonly whole: number;
  readonly notRun: number;
  /** Refusals with outcome `unknown`, and calls that the killed node cut. */
  readonly unknown: number;
  readonly abandoned: number;
  /** Responses other than the expected ones, and calls that ran although they were refused as not run. */
  readonly wrong: number;
  /** Calls with a method that is not idempotent that started to run more than once. */
  readonly ranTwice: number;
  /** Calls that were cut by the node that was stopped with SIGTERM. */
  readonly cutByShutdown: number;
  /** The longest time from the platform's acceptance of a valid change until it was in force on every live node. */
  readonly convergenceMilliseconds: number;
  /** Number of nodes on which the invalid version was in force at any time. */
  readonly badVersionAppliedBy: number;
  /** The versions in force on the live nodes at the end, each once. */
  readonly versionsInForce: readonly string[];
  /** Reads that the platform counted since its start. */
  readonly platformReads: number;
}
