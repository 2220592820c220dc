/** Receives the lines of a log without blocking the process; its memory is bounded. */
export interface LogDestination {
  /** Buffers a line, which ends with a line feed; drops it if the buffer is full. */
  write(line: string): void;
  /** Adds lines that were dropped elsewhere to those that are reported. */
  countDropped(count: number): void;
}
