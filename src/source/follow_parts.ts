import type { SourceClient } from "./source_client.ts";
import type { SourceFailure } from "./source_failure.ts";
import { SourceFailureKind } from "./source_failure_kind.ts";
import { SourcePart } from "./source_part.ts";
import type { SourcePosition } from "./source_position.ts";
import type { SourceReading } from "./source_reading.ts";

/** How long one read waits for a change. */
const watchMilliseconds = 1_000;
/** Bounds the reads of a part that changes all the time. */
const intervalMilliseconds = 100;
/** Delay of the next read of a part after one that failed. */
const failureIntervalMilliseconds = 500;
/**
 * Time from the start after which a part is read first. The operators' bound for
 * a zone that is taken out is longer than that for a draining backend server, and
 * most slow responses arrive within this time.
 */
const delayMilliseconds: Readonly<Record<SourcePart, number>> = {
  [SourcePart.BackendServers]: 0,
  [SourcePart.ZonesTakenOut]: 1_000,
};

/**
 * Reads the changes of backend servers and availability zones apart from the
 * rules until it is stopped, the history is lost, or a later era begins. Used
 * while a large response is on its way: a change of a few hundred bytes would
 * arrive only after every version of the rules that was written before it.
 */
export function followParts(
  options: {
    readonly client: SourceClient;
    readonly after: SourcePosition;
    readonly onReading: (reading: SourceReading) => void;
    readonly onFailure: (part: SourcePart, failure: SourceFailure) => void;
    /** Resolves after a delay in milliseconds. */
    readonly wait: (milliseconds: number) => Promise<void>;
  },
): { readonly stop: () => void } {
  const { client, after, onReading, onFailure, wait } = options;
  let stopped = false;

  async function followPart(part: SourcePart): Promise<void> {
    let { revision } = after;
    await wait(delayMilliseconds[part]);
    while (!stopped) {
      const result = await client.readPart(part, { era: after.era, revision }, {
        waitMilliseconds: watchMilliseconds,
      });
      if (stopped) return;
      if (result.isErr) {
        onFailure(part, result.error);
        if (result.error.kind === SourceFailureKind.HistoryLost) return;
        await wait(failureIntervalMilliseconds);
        continue;
      }
      const reading = result.value;
      if (reading.era !== after.era) return;
      revision = reading.revision;
      if (reading.items.length > 0) onReading(reading);
      await wait(intervalMilliseconds);
    }
  }

  Object.values(SourcePart).forEach((part) => void followPart(part));
  return {
    stop: () => {
      stopped = true;
    },
  };
}
