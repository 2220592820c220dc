/** What the demo ends with, as one line of JSON. */
export interface DemoResult {
  readonly sent: number;
  readonly whole: number;
  readonly notRun: number;
  /** Refusals with outcome unknown, and calls that were open at the node that was killed. */
  readonly unknown: number;
  readonly abandoned: number;
  /** Answers that were not those asked for, and calls that ran although they were refused as not run. */
  readonly wrong: number;
  /** Calls with a method that is not idempotent that began to run more than once. */
  readonly ranTwice: number;
  /** Calls that were cut by the node that was stopped with SIGTERM. */
  readonly cutByShutdown: number;
  /** The longest time from the platform's acceptance of a good change to in force on every live node. */
  readonly convergenceMilliseconds: number;
  /** How many nodes had the bad version in force at any time. */
  readonly badVersionAppliedBy: number;
  /** The versions in force at the end on the live nodes, each once. */
  readonly versionsInForce: readonly string[];
  readonly platformReads: number;
}
