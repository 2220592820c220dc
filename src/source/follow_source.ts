import type { RandomSource } from "../runtime/random_source.ts";
import { FeedEndKind } from "./feed_end_kind.ts";
import { getSourceReadTiming } from "./get_source_read_timing.ts";
import type { SourceBounds } from "./source_bounds.ts";
import type { NeighbourFeeds } from "./neighbour_feeds.ts";
import { readSource } from "./read_source.ts";
import { SourceFailureKind } from "./source_failure_kind.ts";
import type { SourceClient } from "./source_client.ts";
import type { SourceFollower } from "./source_follower.ts";
import type { SourceHandler } from "./source_handler.ts";
import type { SourceReadTiming } from "./source_read_timing.ts";
import type { SourcePosition } from "./source_position.ts";
import type { SourceReading } from "./source_reading.ts";

/** Prevents a busy loop of full reads when the source's history is always too short. */
const historyLostDelayMilliseconds = 50;
/** While the source is unavailable, reads do not wait for changes: an unanswered read must time out soon so that the next one can detect the recovery. */
const unavailableWatchMilliseconds = 0;
/** Above this size of superseded values, reading all items saves bandwidth of the link, which calls share. */
const supersededBytesMaximum = 131_072;
/** Number of full reads after a response with too many superseded bytes. */
const fullReadsAfterSuperseded = 4;
/** After a full read, a neighbour that refuses its feed is asked again instead of the source: after a power cut it has not finished its own first read yet. */
const feedAttemptsAfterFullRead = 6;
const feedAttemptMilliseconds = 150;
/** Number of full reads after the first one of an era. An entry whose heartbeat alone has changed is not among the changes, and only its heartbeat shows that the backend server is alive. */
const fullReadsAfterNewEra = 3;
const backoffBaseMilliseconds = 50;
const backoffMillisecondsMaximum = 600;

/**
 * Follows the source until it is stopped: reads all items once, then the changes
 * after the last revision, from a neighbour's feed if one is available. Reads
 * all items again after lost history, after a malformed response, and when the
 * source has come back from an older copy.
 */
export function followSource(
  options: {
    readonly client: SourceClient;
    readonly handler: SourceHandler;
    readonly random: RandomSource;
    /** Returns the bounds in force; they change when the settings are reloaded. */
    readonly getBounds: () => SourceBounds;
    /** Absent if every node reads the source itself. */
    readonly neighbours?: NeighbourFeeds;
    /** Resolves after a delay in milliseconds. */
    readonly wait: (milliseconds: number) => Promise<void>;
  },
): SourceFollower {
  const { client, handler, random, wait, neighbours } = options;
  /** The position up to which the readings are complete; undefined if all items must be read. */
  let position: SourcePosition | undefined;
  /** The highest era that the source has responded with. */
  let newestEra = 0;
  /** Era of the last applied reading; undefined before the first. */
  let appliedEra: number | undefined;
  let failures = 0;
  /** Number of following reads that request all items. */
  let remainingFullReads = 0;
  /** Number of following reads that request all items because a new era began; no neighbour is followed meanwhile. */
  let remainingEraReads = 0;
  /** Number of refused feeds after which the source is read again. */
  let remainingFeedAttempts = 0;
  let isSourceAvailable = false;
  let stopped = false;

  /** Reads the source once; returns the delay until the next read in milliseconds. */
  async function readOnce(): Promise<number> {
    const timing = getSourceReadTiming(options.getBounds(), {
      hasFollowers: neighbours?.hasFollowers() ?? false,
    });
    const readsAll = remainingFullReads > 0 || remainingEraReads > 0;
    const after = readsAll ? undefined : position;
    handler.onReadStart();
    const result = await readSource({
      client,
      handler,
      wait,
      after,
      position,
      waitMilliseconds: getWatchMilliseconds(timing),
      isStopped: () => stopped,
    });
    if (stopped) return 0;
    neighbours?.recordOwnRead({ succeeded: result.isOk });
    if (result.isErr) return handleError(result.error.kind, result.error.found);
    const reading = result.value;
    if (reading.era < newestEra) {
      return handleError(
        SourceFailureKind.OutdatedEra,
        `era ${reading.era} after ${newestEra}`,
      );
    }
    newestEra = reading.era;
    if (after !== undefined && reading.era > after.era) {
      // Changes between the position and the start of the era are missing.
      position = undefined;
      return historyLostDelayMilliseconds;
    }
    const isFirst = position === undefined;
    scheduleFullReads(reading);
    const isNewEra = appliedEra !== undefined && reading.era > appliedEra;
    remainingEraReads = isNewEra
      ? fullReadsAfterNewEra
      : Math.max(0, remainingEraReads - 1);
    applyReading(reading, {
      complete: after === undefined,
      direct: true,
    });
    const mayFollowNow = isFirst && remainingEraReads === 0;
    remainingFeedAttempts = mayFollowNow ? feedAttemptsAfterFullRead : 0;
    return mayFollowNow ? 0 : timing.intervalMilliseconds;
  }

  /** Switches to full reads while large values change often: all current items are smaller than all changes. */
  function scheduleFullReads({ supersededBytes = 0 }: SourceReading): void {
    remainingFullReads = supersededBytes > supersededBytesMaximum
      ? fullReadsAfterSuperseded
      : Math.max(0, remainingFullReads - 1);
  }

  function getWatchMilliseconds(timing: SourceReadTiming): number {
    // A node that is about to follow a neighbour needs only the changes made so far.
    const hasNeighbour = neighbours?.chooseHost() !== undefined;
    return isSourceAvailable && !hasNeighbour
      ? timing.watchMilliseconds
      : unavailableWatchMilliseconds;
  }

  function applyReading(
    reading: SourceReading,
    options: { readonly complete: boolean; readonly direct: boolean },
  ): void {
    failures = 0;
    if (!isSourceAvailable) {
      isSourceAvailable = true;
      handler.onRegained();
    }
    handler.onReading(reading, options);
    position = { era: reading.era, revision: reading.revision };
    appliedEra = reading.era;
  }

  /** Follows a neighbour's feed until it ends; returns the reason, or undefined if there is none to follow. */
  async function followNeighbour(): Promise<FeedEndKind | undefined> {
    const host = neighbours?.chooseHost();
    if (neighbours === undefined || host === undefined) return undefined;
    if (position === undefined || remainingEraReads > 0) return undefined;
    const kind = await neighbours.follow(host, {
      after: position,
      onReading: (reading) => {
        if (!stopped) applyReading(reading, { complete: false, direct: false });
      },
    });
    // Large values may be changing often, which a full read handles with fewer bytes.
    if (shouldReadAllAfter(kind)) remainingFullReads = 1;
    return kind;
  }

  /** Whether a feed that was refused is to be requested again before the next read. */
  function shouldRetryFeed(kind: FeedEndKind | undefined): boolean {
    if (kind !== FeedEndKind.Refused) remainingFeedAttempts = 0;
    remainingFeedAttempts -= 1;
    return remainingFeedAttempts > 0;
  }

  /** Reports a failed read; returns the delay until the next read in milliseconds. */
  function handleError(kind: SourceFailureKind, found: string): number {
    // A node that the source rejects depends on its neighbours.
    remainingEraReads = 0;
    if (kind === SourceFailureKind.HistoryLost) {
      position = undefined;
      return historyLostDelayMilliseconds;
    }
    if (kind === SourceFailureKind.Malformed) position = undefined;
    if (isSourceAvailable || failures === 0) handler.onLost({ kind, found });
    isSourceAvailable = false;
    failures += 1;
    const delay = Math.min(
      backoffMillisecondsMaximum,
      backoffBaseMilliseconds * 2 ** Math.min(failures, 8),
    );
    return delay * (0.5 + random.next() / 2);
  }

  async function run(): Promise<void> {
    while (!stopped) {
      const kind = await followNeighbour();
      if (stopped) return;
      if (shouldRetryFeed(kind)) {
        await wait(feedAttemptMilliseconds);
        continue;
      }
      const delay = await readOnce();
      if (delay > 0 && !stopped) await wait(delay);
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

/** Returns whether all current items are likely to be smaller than the changes missing from the feed. */
function shouldReadAllAfter(kind: FeedEndKind): boolean {
  return kind === FeedEndKind.Gap || kind === FeedEndKind.Stale;
}
