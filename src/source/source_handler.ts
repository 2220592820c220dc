import type { SourceFailure } from "./source_failure.ts";
import type { SourcePart } from "./source_part.ts";
import type { SourceReading } from "./source_reading.ts";

/** Handles the readings and failures of the source. */
export interface SourceHandler {
  /** Called before each read of the source; reads follow each other. */
  onReadStart(): void;
  /** Called for each successful read and for each line of a neighbour's feed. */
  onReading(
    reading: SourceReading,
    options: {
      /** Whether the reading contains all items rather than only changes. */
      readonly complete: boolean;
      /** Whether the reading comes from the source itself rather than a neighbour. */
      readonly direct: boolean;
    },
  ): void;
  /** Called for each reading of a part while a read of the whole source is slow. */
  onPartReading(reading: SourceReading): void;
  /** Called if such a read fails. */
  onPartFailure(part: SourcePart, failure: SourceFailure): void;
  /** Called for the first failure at the start and after a successful read. */
  onLost(failure: SourceFailure): void;
  /** Called before the first reading at the start and after a failure. */
  onRegained(): void;
}
