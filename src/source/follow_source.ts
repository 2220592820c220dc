import type { RandomSource } from "../runtime/random_source.ts";
import { SourceFailureKind } from "./source_failure_kind.ts";
import type { SourceClient } from "./source_client.ts";
import type { SourceFollower } from "./source_follower.ts";
import type { SourceHandler } from "./source_handler.ts";

/** Least time between two reads: changes of this span arrive with one read. */
const readIntervalMilliseconds = 900;
/** Keeps a source whose history is always too short from being read without end. */
const historyLostMilliseconds = 50;
/** A connection that went silent shows only at the end of a watch, and a change must be in force soon after. */
const watchMilliseconds = 2_000;
/** While the source is lost, a silent attempt must end soon: the next one may find it back. */
const lostWatchMilliseconds = 0;
const backoffMilliseconds = 50;
const backoffMillisecondsMaximum = 600;

/**
 * Keeps a node's view current: reads everything once, then the changes after
 * the last revision. Reads everything again where the history is lost and
 * where an answer makes no sense.
 */
export function followSource(
  options: {
    readonly client: SourceClient;
    readonly handler: SourceHandler;
    readonly random: RandomSource;
    /** Resolves after a span in milliseconds. */
    readonly wait: (milliseconds: number) => Promise<void>;
  },
): SourceFollower {
  const { client, handler, random, wait } = options;
  let revision: number | undefined;
  let failures = 0;
  let sound = false;
  let stopped = false;

  async function readOnce(): Promise<number> {
    const complete = revision === undefined;
    const result = revision === undefined
      ? await client.readAll()
      : await client.readChanges(revision, {
        waitMilliseconds: sound ? watchMilliseconds : lostWatchMilliseconds,
      });
    if (stopped) return 0;
    if (result.isErr) return takeFailure(result.error.kind, result.error.found);
    failures = 0;
    if (!sound) {
      sound = true;
      handler.onRegained();
    }
    const reading = result.value;
    handler.onReading(reading, { complete });
    revision = reading.revision;
    return complete ? 0 : readIntervalMilliseconds;
  }

  function takeFailure(kind: SourceFailureKind, found: string): number {
    if (kind === SourceFailureKind.HistoryLost) {
      revision = undefined;
      return historyLostMilliseconds;
    }
    if (kind === SourceFailureKind.Malformed) revision = undefined;
    if (sound || failures === 0) handler.onLost({ kind, found });
    sound = false;
    failures += 1;
    const span = Math.min(
      backoffMillisecondsMaximum,
      backoffMilliseconds * 2 ** Math.min(failures, 8),
    );
    return span * (0.5 + random.next() / 2);
  }

  async function run(): Promise<void> {
    while (!stopped) {
      const pause = await readOnce();
      if (pause > 0 && !stopped) await wait(pause);
    }
  }

  void run();
  return {
    stop: () => {
      stopped = true;
      client.close();
    },
  };
}
