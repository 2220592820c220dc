import type { LedgerServer } from "./ledger_server.ts";
import { orderByRank } from "./order_by_rank.ts";

/**
 * How long after a change of the register nodes with the former register may
 * still hand over calls by it: the bound of 11 s on the spreading of a
 * configuration, and some slack.
 */
const registerSpreadMilliseconds = 15_000;

/**
 * Returns the servers that may have run the key before `self` became its
 * owner: all that rank higher, whatever their state, since each was the owner
 * while it was eligible; and, for a key whose first attempt is not well after
 * this ledger's beginning, the next lower one that is there, which owns the
 * key for nodes that do not know of `self` yet.
 */
export function getPredecessors(
  servers: readonly LedgerServer[],
  key: string,
  options: {
    readonly self: string;
    readonly firstAttemptAt: number | undefined;
    readonly ledgerSince: number;
    /** Whether a server's VM was gone before the first attempt. */
    readonly isGone: (server: LedgerServer) => boolean;
  },
): readonly LedgerServer[] {
  const { self, ledgerSince } = options;
  const order = orderByRank(servers, key);
  const own = order.findIndex(({ name }) => name === self);
  const attemptAt = options.firstAttemptAt ?? ledgerSince;
  const lower = order.slice(own + 1);
  const established = lower.findIndex((server) => !options.isGone(server));
  const isYoung = attemptAt < ledgerSince + registerSpreadMilliseconds;
  return [
    ...order.slice(0, own),
    ...(isYoung ? lower.slice(0, established + 1) : []),
  ];
}
