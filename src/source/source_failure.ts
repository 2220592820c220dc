import type { SourceFailureKind } from "./source_failure_kind.ts";

/** A read of the platform's source that failed. */
export interface SourceFailure {
  readonly kind: SourceFailureKind;
  /** What was seen, for the log. */
  readonly found: string;
}
