import type { CallerReport } from "../caller/caller_report.ts";

/** A caller that runs as its own process. */
export interface RunningCaller {
  /** Resolves with what it prints at its end; rejects where it ended without. */
  readonly report: Promise<CallerReport>;
  /** Lets it send nothing more and end once every call has ended. */
  stop(): void;
}
