import type { SourceFailure } from "./source_failure.ts";
import type { SourceReading } from "./source_reading.ts";

/** Hears what the follower of the source learns. */
export interface SourceHandler {
  onReading(
    reading: SourceReading,
    options: {
      /** Whether the reading holds every item or changes alone. */
      readonly complete: boolean;
      /** Whether the source itself gave the reading, not a neighbour. */
      readonly direct: boolean;
    },
  ): void;
  /** The first failure after the source was sound. */
  onLost(failure: SourceFailure): void;
  /** The first answer after a failure, or at the start. */
  onRegained(): void;
}
