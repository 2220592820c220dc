import type { BackendServer } from "../configuration/backend_server.ts";
import type { BackendServerView } from "./backend_server_view.ts";
import { isAvoided } from "./is_avoided.ts";
import { isUnreachable } from "./is_unreachable.ts";
import { orderByRank } from "./order_by_rank.ts";

/**
 * Returns the server that a call with a key goes to: the highest in rendezvous
 * order that has not refused it. Where a higher one cannot be reached, no other
 * one is chosen: it would have to settle the key with the one that cannot be
 * reached, and the refusal could not say "not run". A process that is gone is
 * passed over, since the next owner learns that it is.
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
