import type { CallerReport } from "../caller/caller_report.ts";

/** A caller that runs as a separate process. */
export interface RunningCaller {
  /** Resolves with the report that it prints when it ends; rejects if it exits without one. */
  readonly report: Promise<CallerReport>;
  /** Stops it from sending further calls; it exits once every call has ended. */
  stop(): void;
}
