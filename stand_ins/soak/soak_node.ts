/** The program of a VM. */
export interface SoakNode {
  /** How often it was started. */
  getLife(): number;
  start(): void;
  /** Sends a signal to the running process. */
  signal(name: NodeJS.Signals): void;
  /** Resolves once the running process has ended. */
  waitForEnd(): Promise<void>;
  /** The last lines that its processes wrote. */
  getOutput(): readonly string[];
}
