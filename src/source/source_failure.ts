import type { SourceFailureKind } from "./source_failure_kind.ts";

/** A failed read of the source. */
export interface SourceFailure {
  readonly kind: SourceFailureKind;
  /** Details for the log. */
  readonly found: string;
}
