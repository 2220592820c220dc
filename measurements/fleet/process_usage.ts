/** What a process has used so far. */
export interface ProcessUsage {
  /** Processor time since its start, in milliseconds, with a resolution of 10. */
  readonly processorMilliseconds: number;
  readonly residentBytes: number;
}
