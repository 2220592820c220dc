import type { Result } from "true-myth";
import { followParts } from "./follow_parts.ts";
import type { SourceClient } from "./source_client.ts";
import type { SourceFailure } from "./source_failure.ts";
import type { SourceHandler } from "./source_handler.ts";
import type { SourcePosition } from "./source_position.ts";
import type { SourceReading } from "./source_reading.ts";

/**
 * Reads all items of the source, or the changes after a position. While the
 * response is slow, the changes of backend servers and availability zones are
 * read beside it and passed to the handler.
 */
export async function readSource(
  options: {
    readonly client: SourceClient;
    readonly handler: SourceHandler;
    /** Resolves after a delay in milliseconds. */
    readonly wait: (milliseconds: number) => Promise<void>;
    /** The position after which changes are read; undefined to read all items. */
    readonly after: SourcePosition | undefined;
    /** The position of the last reading; undefined if there is none. */
    readonly position: SourcePosition | undefined;
    /** How long a read of changes waits for one. */
    readonly waitMilliseconds: number;
    readonly isStopped: () => boolean;
  },
): Promise<Result<SourceReading, SourceFailure>> {
  const { client, handler, wait, after, position, isStopped } = options;
  let parts: { readonly stop: () => void } | undefined;

  function onSlow(): void {
    if (position === undefined || isStopped()) return;
    parts ??= followParts({
      client,
      wait,
      after: position,
      onReading: (reading) => {
        if (!isStopped()) handler.onPartReading(reading);
      },
      onFailure: handler.onPartFailure,
    });
  }

  const { waitMilliseconds } = options;
  const result = after === undefined
    ? await client.readAll({ onSlow })
    : await client.readChanges(after, { onSlow, waitMilliseconds });
  parts?.stop();
  return result;
}
