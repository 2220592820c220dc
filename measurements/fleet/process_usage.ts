/** Resources that a process has used so far. */
export interface ProcessUsage {
  /** Processor time since the start of the process, in milliseconds, with a resolution of 10 ms. */
  readonly processorMilliseconds: number;
  /** Current resident set size. */
  readonly residentBytes: number;
}
