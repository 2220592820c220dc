import type { IncomingMessage, ServerResponse } from "node:http";
import { getFeedStaleMilliseconds } from "../source/get_feed_stale_milliseconds.ts";
import type { SourcePosition } from "../source/source_position.ts";
import { tryGetInitialFeedLines } from "../source/try_get_initial_feed_lines.ts";
import { getStatedRulesAgeMilliseconds } from "./get_stated_rules_age_milliseconds.ts";
import type { MeshNode } from "./mesh_node.ts";

const okStatus = 200;
const refusedStatus = 503;
const invalidStatus = 400;
/**
 * A neighbour that does not read is disconnected at this size; it then reads
 * the source itself.
 */
const unreadBytesMaximum = 4_194_304;

/**
 * Sends the changes of the source after the position `after` to a neighbour;
 * undefined means that the neighbour sent an invalid one.
 */
export function serveFeed(
  node: MeshNode,
  request: IncomingMessage,
  options: {
    readonly after: SourcePosition | undefined;
    readonly response: ServerResponse;
  },
): void {
  const { after, response } = options;
  request.resume();
  if (after === undefined) {
    response.writeHead(invalidStatus).end();
    return;
  }
  const start = tryGetInitialFeedLines(node.feed, {
    after,
    now: node.clock.now(),
    rulesAgeMilliseconds: getStatedRulesAgeMilliseconds(node),
    staleMilliseconds: getFeedStaleMilliseconds(node.settings.sourceBounds),
  });
  if (start === undefined || node.stopping) {
    response.writeHead(refusedStatus).end();
    return;
  }
  const subscriber = {
    write: (text: string) => {
      response.write(text);
      if (response.writableLength > unreadBytesMaximum) response.destroy();
    },
    end: () => void response.end(),
  };
  node.feed.subscribers.add(subscriber);
  response.once("close", () => node.feed.subscribers.delete(subscriber));
  response.writeHead(okStatus);
  response.write(start);
}
