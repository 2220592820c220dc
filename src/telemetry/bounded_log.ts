import type { Logger } from "pino";

/** A log that never blocks the process; its memory is bounded. */
export interface BoundedLog {
  /** Lines of the logger itself are limited by the buffer only. */
  readonly logger: Logger;
  /** Returns whether one more line may be written in the present second; a line that may not is counted as dropped. */
  tryAcquireLine(): boolean;
}
