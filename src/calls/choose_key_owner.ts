import type { BackendServer } from "../configuration/backend_server.ts";
import type { BackendServerView } from "./backend_server_view.ts";
import { isAvoided } from "./is_avoided.ts";
import { isUnreachable } from "./is_unreachable.ts";
import { orderByRank } from "./order_by_rank.ts";

/**
 * Returns the server that owns a key among those that may receive the call: the
 * highest in rendezvous order that has not refused it.
 *
 * Returns undefined if a higher one is unreachable. A lower one would have to
 * query the unreachable one about the key, and its refusal could not state the
 * outcome "not-run". A server whose process is gone is skipped, since the next owner can
 * detect that itself.
 */
export function chooseKeyOwner(
  eligible: readonly BackendServer[],
  key: string,
  options: {
    readonly now: number;
    readonly excluded: readonly string[];
    readonly getView: (server: BackendServer) => BackendServerView;
  },
): BackendServer | undefined {
  const { now, excluded, getView } = options;
  const isBlocking = (view: BackendServerView) =>
    isUnreachable(view, now) && !view.processGone;
  const found = orderByRank(eligible, key).find((server) => {
    const view = getView(server);
    return isBlocking(view) ||
      !(isAvoided(view, now) || excluded.includes(server.name));
  });
  return found === undefined || isBlocking(getView(found)) ? undefined : found;
}
