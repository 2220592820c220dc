import type { Result } from "true-myth";
import type { SourcePosition } from "./source_position.ts";
import type { SourceFailure } from "./source_failure.ts";
import type { SourcePart } from "./source_part.ts";
import type { SourceReadOptions } from "./source_read_options.ts";
import type { SourceReading } from "./source_reading.ts";

/** Reads the items that operators and backend servers publish on the platform. */
export interface SourceClient {
  /** Reads every item. */
  readAll(
    options?: SourceReadOptions,
  ): Promise<Result<SourceReading, SourceFailure>>;
  /** Reads the changes after a position and waits for one if there are none; the reading is empty if none came in time. The reading of a later era lacks changes. */
  readChanges(
    after: SourcePosition,
    options: SourceReadOptions & { readonly waitMilliseconds: number },
  ): Promise<Result<SourceReading, SourceFailure>>;
  /** Like `readChanges`, for one part; may be in progress beside another read. The reading lacks the changes of other parts. */
  readPart(
    part: SourcePart,
    after: SourcePosition,
    options: { readonly waitMilliseconds: number },
  ): Promise<Result<SourceReading, SourceFailure>>;
  /** Reads the entry of one backend server now; the reading is empty if there is none. It lacks all other items. */
  readBackendServer(
    identifier: string,
  ): Promise<Result<SourceReading, SourceFailure>>;
  /** Closes the connections. */
  close(): void;
}
