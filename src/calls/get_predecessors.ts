import type { LedgerServer } from "./ledger_server.ts";
import { orderByRank } from "./order_by_rank.ts";

/**
 * How long after a change of the register other nodes may still forward calls
 * by the previous one: a configuration spreads within 11 s, plus a margin.
 */
const registerPropagationMilliseconds = 15_000;

/**
 * Returns the servers that may have run the key before `self` became its owner.
 *
 * These are all servers that rank higher, in any state, since each of them
 * owned the key while it was eligible. If the first attempt with the key may have been
 * made before all nodes had `self` in their register, the next lower server
 * that is not gone is included too: it owns the key for the nodes that do not
 * have `self` yet.
 */
export function getPredecessors(
  servers: readonly LedgerServer[],
  key: string,
  options: {
    readonly self: string;
    readonly firstAttemptAt: number | undefined;
    readonly ledgerSince: number;
    /** Whether the server's VM was gone before the first attempt. */
    readonly isGone: (server: LedgerServer) => boolean;
  },
): readonly LedgerServer[] {
  const { self, ledgerSince } = options;
  const ranking = orderByRank(servers, key);
  const ownRank = ranking.findIndex(({ name }) => name === self);
  const attemptAt = options.firstAttemptAt ?? ledgerSince;
  const lower = ranking.slice(ownRank + 1);
  const firstPresent = lower.findIndex((server) => !options.isGone(server));
  const mayPredatePropagation =
    attemptAt < ledgerSince + registerPropagationMilliseconds;
  return [
    ...ranking.slice(0, ownRank),
    ...(mayPredatePropagation ? lower.slice(0, firstPresent + 1) : []),
  ];
}
