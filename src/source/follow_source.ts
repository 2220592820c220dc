import type { RandomSource } from "../runtime/random_source.ts";
import { FeedEndKind } from "./feed_end_kind.ts";
import { getSourcePace } from "./get_source_pace.ts";
import type { SourceBounds } from "./source_bounds.ts";
import type { NeighbourFeeds } from "./neighbour_feeds.ts";
import { SourceFailureKind } from "./source_failure_kind.ts";
import type { SourceClient } from "./source_client.ts";
import type { SourceFollower } from "./source_follower.ts";
import type { SourceHandler } from "./source_handler.ts";
import type { SourcePace } from "./source_pace.ts";
import type { SourceReading } from "./source_reading.ts";

/** Keeps a source whose history is always too short from being read without end. */
const historyLostMilliseconds = 50;
/** While the source is lost, a silent attempt must end soon: the next one may find it back. */
const lostWatchMilliseconds = 0;
/** Beyond this, changes are not worth their way: they share the link with calls. */
const supersededBytesMaximum = 131_072;
const wholeReadsInRow = 4;
const backoffMilliseconds = 50;
const backoffMillisecondsMaximum = 600;

/**
 * Keeps a node's view current: reads everything once, then the changes after
 * the last revision, from a neighbour's feed where there is one. Reads
 * everything again where the history is lost and where an answer makes no
 * sense.
 */
export function followSource(
  options: {
    readonly client: SourceClient;
    readonly handler: SourceHandler;
    readonly random: RandomSource;
    /** What holds at the moment; settings may be read again. */
    readonly getBounds: () => SourceBounds;
    /** Absent where every node reads the source itself. */
    readonly neighbours?: NeighbourFeeds;
    /** Resolves after a span in milliseconds. */
    readonly wait: (milliseconds: number) => Promise<void>;
  },
): SourceFollower {
  const { client, handler, random, wait, neighbours } = options;
  let revision: number | undefined;
  let failures = 0;
  /** So many reads to come ask for every item. */
  let wholeReads = 0;
  let sound = false;
  let stopped = false;

  async function readOnce(): Promise<number> {
    const pace = getSourcePace(options.getBounds(), {
      feeding: neighbours?.isFeeding() ?? false,
    });
    const after = wholeReads > 0 ? undefined : revision;
    const result = after === undefined
      ? await client.readAll()
      : await client.readChanges(after, { waitMilliseconds: getWait(pace) });
    if (stopped) return 0;
    neighbours?.noteOwnRead({ succeeded: result.isOk });
    if (result.isErr) return takeFailure(result.error.kind, result.error.found);
    const isFirst = revision === undefined;
    noteSuperseded(result.value);
    takeReading(result.value, { complete: after === undefined, direct: true });
    return isFirst ? 0 : pace.intervalMilliseconds;
  }

  /** While large values change often, every item as it stands is less than all their changes. */
  function noteSuperseded({ supersededBytes = 0 }: SourceReading): void {
    wholeReads = supersededBytes > supersededBytesMaximum
      ? wholeReadsInRow
      : Math.max(0, wholeReads - 1);
  }

  function getWait(pace: SourcePace): number {
    // A node that is about to follow a neighbour needs what there is now.
    const hasNeighbour = neighbours?.choose() !== undefined;
    return sound && !hasNeighbour
      ? pace.watchMilliseconds
      : lostWatchMilliseconds;
  }

  function takeReading(
    reading: SourceReading,
    options: { readonly complete: boolean; readonly direct: boolean },
  ): void {
    failures = 0;
    if (!sound) {
      sound = true;
      handler.onRegained();
    }
    handler.onReading(reading, options);
    revision = reading.revision;
  }

  async function followNeighbour(): Promise<void> {
    const host = neighbours?.choose();
    if (neighbours === undefined || host === undefined) return;
    if (revision === undefined) return;
    const kind = await neighbours.follow(host, {
      after: revision,
      onReading: (reading) => {
        if (!stopped) takeReading(reading, { complete: false, direct: false });
      },
    });
    // The neighbour may be busy with many versions of something large.
    if (isReadWholeAfter(kind)) wholeReads = 1;
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
      await followNeighbour();
      if (stopped) return;
      const pause = await readOnce();
      if (pause > 0 && !stopped) await wait(pause);
    }
  }

  void run();
  return {
    stop: () => {
      stopped = true;
      client.close();
      neighbours?.close();
    },
  };
}

/** Whether items as they stand are likely to be less than all the changes that the feed did not bring. */
function isReadWholeAfter(kind: FeedEndKind): boolean {
  return kind === FeedEndKind.Gap || kind === FeedEndKind.Stale;
}
