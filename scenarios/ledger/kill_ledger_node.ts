import type { LedgerSimulation } from "./ledger_simulation.ts";

/** Kills a node; where `again`, it starts at once with an empty ledger. */
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
