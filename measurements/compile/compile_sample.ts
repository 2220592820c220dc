/** How long each processing phase of one version blocked the event loop, in milliseconds. */
export interface CompileSample {
  readonly backendServers: number;
  /** `JSON.parse` of the text alone. */
  readonly baseline: number;
  /** Parsing and validating the text. */
  readonly parse: number;
  /** Splitting the document into parts and computing every digest. */
  readonly split: number;
  /** Compiling all parts into a snapshot. */
  readonly compile: number;
  /** Validating the changed parts and compiling them with the parts of the previous version. */
  readonly changedPart: number;
}
