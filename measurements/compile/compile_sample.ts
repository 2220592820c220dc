/** How long the phases of one version held the event loop, in milliseconds. */
export interface CompileSample {
  readonly backendServers: number;
  /** `JSON.parse` alone: the baseline. */
  readonly baseline: number;
  /** Text to checked document. */
  readonly parse: number;
  /** Cutting into parts and computing every digest. */
  readonly split: number;
  /** Compiling the whole version. */
  readonly compile: number;
  /** Checking and compiling one changed part, where the others are held. */
  readonly changedPart: number;
}
