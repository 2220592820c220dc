import type { ChildProcess } from "node:child_process";

/** A process of a deployment. */
export interface Child {
  readonly name: string;
  readonly process: ChildProcess;
  /** The first line that it printed; rejects where it ended before. */
  readonly firstLine: Promise<string>;
  /** Resolves once it has ended, with its exit status; null after a signal that it did not handle. */
  readonly ended: Promise<number | null>;
  /** The last lines of its output, for errors. */
  getOutput(): readonly string[];
}
