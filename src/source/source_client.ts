import type { Result } from "true-myth";
import type { SourceFailure } from "./source_failure.ts";
import type { SourceReading } from "./source_reading.ts";

/** Reads what operators and backend servers publish on the platform. */
export interface SourceClient {
  /** Reads every item. */
  readAll(): Promise<Result<SourceReading, SourceFailure>>;
  /** Waits for changes after a revision, at most for the span; an empty reading means that there were none. */
  readChanges(
    revision: number,
    options: { readonly waitMilliseconds: number },
  ): Promise<Result<SourceReading, SourceFailure>>;
  close(): void;
}
