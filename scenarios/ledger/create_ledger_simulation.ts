import { orderByRank } from "../../src/calls/order_by_rank.ts";
import type { LedgerSimulation } from "./ledger_simulation.ts";
import { ledgerKey } from "./ledger_key.ts";

const startInstant = 10_000_000;
const firstPort = 7001;

/**
 * Creates three running nodes with empty ledgers, ordered by rank for the key.
 * `skews` is by how much the clock of each is ahead, in milliseconds.
 */
export function createLedgerSimulation(
  skews: readonly number[] = [0, 0, 0],
): LedgerSimulation {
  const servers = skews.map((_, index) => ({
    name: `encomendas-${index + 1}`,
    vm: `vm-${index + 1}`,
    nodeAddress: { host: "127.0.0.1", port: firstPort + index },
  }));
  return {
    now: startInstant,
    nodes: orderByRank(servers, ledgerKey).map((server, index) => ({
      server,
      entry: undefined,
      ledgerSince: startInstant + (skews[index] ?? 0),
      running: true,
      incarnation: 1,
      skewMilliseconds: skews[index] ?? 0,
      runningAttempt: undefined,
      refusedContacts: new Map(),
    })),
    messages: [],
    goneAt: new Map(),
    firstAttemptAt: undefined,
    sendsFirstAttempt: true,
    attempts: 0,
    runs: 0,
    outcomes: new Map(),
  };
}
