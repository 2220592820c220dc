import type { BackendServer } from "../configuration/backend_server.ts";
import type { BackendServerView } from "./backend_server_view.ts";
import { isAvoided } from "./is_avoided.ts";
import { isUnreachable } from "./is_unreachable.ts";
import { orderByRank } from "./order_by_rank.ts";

/**
 * Returns the server that a call with a key goes to: the highest in rendezvous
 * order that has not refused it. Where a higher one cannot be reached, no other
 * one is chosen: it would have to settle the key with the one that cannot be
 * reached, and the refusal could not say "not run". A caller's first attempt
 * passes over a process that is gone, since that one cannot have run it.
 */
export function chooseKeyOwner(
  eligible: readonly BackendServer[],
  key: { readonly value: string; readonly callerAttempt: number | undefined },
  options: {
    readonly now: number;
    readonly excluded: readonly string[];
    readonly getView: (server: BackendServer) => BackendServerView;
  },
): BackendServer | undefined {
  const { now, excluded, getView } = options;
  const isBlocking = (view: BackendServerView) =>
    isUnreachable(view, now) && !(view.processGone && key.callerAttempt === 1);
  const found = orderByRank(eligible, key.value).find((server) => {
    const view = getView(server);
    return isBlocking(view) ||
      !(isAvoided(view, now) || excluded.includes(server.name));
  });
  return found === undefined || isBlocking(getView(found)) ? undefined : found;
}
