import type { LedgerSimulation } from "./ledger_simulation.ts";

/** Kills a node; if `restart` is true, it restarts immediately with an empty ledger. */
export function killLedgerNode(
  simulation: LedgerSimulation,
  position: number,
  restart: boolean,
): void {
  const node = simulation.nodes[position]!;
  node.entry = undefined;
  node.runningAttempt = undefined;
  node.refusedContacts.clear();
  node.running = restart;
  node.incarnation += 1;
  node.ledgerSince = simulation.now + node.skewMilliseconds;
}
