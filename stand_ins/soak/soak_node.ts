/** The handle of a VM's node process. */
export interface SoakNode {
  /** Returns the number of starts so far. */
  getIncarnation(): number;
  start(): void;
  /** Sends a signal to the process if it is running. */
  signal(name: NodeJS.Signals): void;
  /** Resolves once the process has exited. */
  waitForExit(): Promise<void>;
  /** Returns the last lines of standard output over all incarnations. */
  getOutput(): readonly string[];
}
