import type { LedgerWorld } from "./ledger_simulation.ts";

/** Kills a node; where `again`, it starts at once with an empty ledger. */
export function restartLedgerNode(
  world: LedgerWorld,
  position: number,
  again: boolean,
): void {
  const node = world.nodes[position]!;
  node.entry = undefined;
  node.runningAttempt = undefined;
  node.refusedContacts.clear();
  node.running = again;
  node.incarnation += 1;
  node.ledgerSince = world.now + node.skewMilliseconds;
}
