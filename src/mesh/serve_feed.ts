import type { IncomingMessage, ServerResponse } from "node:http";
import { getFeedStaleMilliseconds } from "../source/get_feed_stale_milliseconds.ts";
import { tryGetInitialFeedLines } from "../source/try_get_initial_feed_lines.ts";
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
 * Sends the changes of the source after the revision `after` to a neighbour.
 */
export function serveFeed(
  node: MeshNode,
  request: IncomingMessage,
  options: { readonly after: number; readonly response: ServerResponse },
): void {
  const { after, response } = options;
  request.resume();
  if (!Number.isFinite(after)) {
    response.writeHead(invalidStatus).end();
    return;
  }
  const start = tryGetInitialFeedLines(node.feed, {
    after,
    now: node.clock.now(),
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
