import { get, type IncomingMessage } from "node:http";
import { createLineSplitter } from "../collections/create_line_splitter.ts";
import { tryDecodeFeedLine } from "../source/try_decode_feed_line.ts";
import type { FeedAge } from "../source/feed_age.ts";
import { FeedEndKind } from "../source/feed_end_kind.ts";
import type { FeedLine } from "../source/feed_line.ts";
import { getFeedStaleMilliseconds } from "../source/get_feed_stale_milliseconds.ts";
import { updateFeedAge } from "../source/update_feed_age.ts";
import { formatSourcePosition } from "../source/format_source_position.ts";
import type { SourcePosition } from "../source/source_position.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { TimerHandle } from "../runtime/timer_handle.ts";
import { createAnswerCheck } from "./create_answer_check.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";
import { trackConnection } from "./track_connection.ts";

const okStatus = 200;
/**
 * A live neighbour sends its first line at once. A node whose own view is
 * already stale still waits this long for it.
 */
const firstLineTimeoutMilliseconds = 300;
/** A line of 8 MiB that cannot be compressed, in base64. */
const lineBytesMaximum = 12_582_912;

/**
 * Follows the feed of a neighbour until it ends, becomes stale, or is ended by
 * `onLine`. A neighbour that fails without closing the connection is detected
 * by the age of its last line.
 */
export function followFeed(
  node: MeshNode,
  address: NetworkAddress,
  options: {
    readonly after: SourcePosition;
    /** The age of this node's view; updated with each line. */
    readonly age: FeedAge;
    /** Handles a line; returns the reason if the feed has to end. */
    readonly onLine: (line: FeedLine) => FeedEndKind | undefined;
    readonly signal: AbortSignal;
  },
): Promise<FeedEndKind> {
  const staleMilliseconds = getFeedStaleMilliseconds(
    node.settings.sourceBounds,
  );
  const { age } = options;
  return new Promise((resolve) => {
    const request = get({
      agent: false,
      host: address.host,
      port: address.port,
      headers: { [OfferHeader.Feed]: formatSourcePosition(options.after) },
      signal: options.signal,
    });
    trackConnection(request);
    const isProperAnswer = createAnswerCheck(request);
    let ended = false;
    let staleTimer = scheduleStaleTimer(
      node.clock.now() + firstLineTimeoutMilliseconds,
    );
    request.once("response", handleResponse);
    request.on("error", () => end(FeedEndKind.Lost));

    function end(kind: FeedEndKind): void {
      ended = true;
      staleTimer.cancel();
      request.destroy();
      resolve(kind);
    }

    function scheduleStaleTimer(earliest: number): TimerHandle {
      return node.timers.at(
        Math.max(earliest, age.confirmedAt + staleMilliseconds),
        () => end(FeedEndKind.Stale),
      );
    }

    function handleResponse(response: IncomingMessage): void {
      response.on("error", () => end(FeedEndKind.Lost));
      if (!isProperAnswer(response)) return end(FeedEndKind.Lost);
      if (response.statusCode !== okStatus) return end(FeedEndKind.Refused);
      const splitLines = createLineSplitter({
        bytesMaximum: lineBytesMaximum,
        onLine: handleLine,
      });
      response.on("data", (part: Buffer) => {
        if (!ended && !splitLines(part)) end(FeedEndKind.Lost);
      });
      response.once("close", () => end(FeedEndKind.Lost));
    }

    function handleLine(text: string): void {
      if (ended) return;
      const line = tryDecodeFeedLine(text);
      if (line === undefined) return end(FeedEndKind.Lost);
      const now = node.clock.now();
      const kind = options.onLine(line);
      if (kind !== undefined) return end(kind);
      updateFeedAge(age, line, { now });
      staleTimer.cancel();
      staleTimer = scheduleStaleTimer(now);
    }
  });
}
