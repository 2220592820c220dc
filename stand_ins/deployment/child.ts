import type { ChildProcess } from "node:child_process";

/** A child process of a deployment. */
export interface Child {
  readonly name: string;
  readonly process: ChildProcess;
  /** Resolves with the first line of its standard output; rejects if it exits before. */
  readonly firstLine: Promise<string>;
  /** Resolves with its exit status once it has exited; null if a signal that it did not handle ended it. */
  readonly ended: Promise<number | null>;
  /** Returns the last lines of standard output and standard error, for error messages. */
  getOutput(): readonly string[];
}
