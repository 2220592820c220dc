import type { SourceFailure } from "./source_failure.ts";
import type { SourceReading } from "./source_reading.ts";

/** Hears what the follower of the source learns. */
export interface SourceHandler {
  /** `complete` tells whether the reading holds every item or changes alone. */
  onReading(
    reading: SourceReading,
    options: { readonly complete: boolean },
  ): void;
  /** The first failure after the source was sound. */
  onLost(failure: SourceFailure): void;
  /** The first answer after a failure, or at the start. */
  onRegained(): void;
}
