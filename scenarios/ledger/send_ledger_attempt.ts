import { getPredecessors } from "../../src/calls/get_predecessors.ts";
import { LedgerEventKind } from "../../src/calls/ledger_event_kind.ts";
import { ledgerClockSkewMilliseconds } from "./ledger_clock_skew_milliseconds.ts";
import { ledgerKey } from "./ledger_key.ts";
import type { LedgerSimulation } from "./ledger_simulation.ts";
import { stepLedgerNode } from "./step_ledger_node.ts";

/**
 * Delivers the caller's next attempt to the node at `position` in
 * `simulation.nodes`, which are ordered by rank. If this node is not running,
 * records the attempt as unreachable.
 */
export function sendLedgerAttempt(
  simulation: LedgerSimulation,
  position: number,
): void {
  const node = simulation.nodes[position]!;
  simulation.firstAttemptAt ??= simulation.now;
  simulation.attempts += 1;
  const attemptIdentifier = `attempt-${simulation.attempts}`;
  if (!node.running) {
    simulation.outcomes.set(attemptIdentifier, "unreachable");
    return;
  }
  const firstAttemptAt = simulation.sendsFirstAttempt
    ? simulation.firstAttemptAt
    : undefined;
  const predecessors = getPredecessors(
    simulation.nodes.map(({ server }) => server),
    ledgerKey,
    {
      self: node.server.name,
      firstAttemptAt,
      ledgerSince: node.ledgerSince,
      isGone: (server) => isGoneBeforeFirstAttempt(simulation, server.name),
    },
  );
  stepLedgerNode(simulation, position, {
    kind: LedgerEventKind.Requested,
    fingerprint: "one cake",
    attemptIdentifier,
    firstAttemptAt,
    predecessors,
  });
}

function isGoneBeforeFirstAttempt(
  simulation: LedgerSimulation,
  name: string,
): boolean {
  const position = simulation.nodes.findIndex((node) =>
    node.server.name === name
  );
  const goneAt = simulation.goneAt.get(position) ?? Infinity;
  return (simulation.firstAttemptAt ?? simulation.now) >
    goneAt + ledgerClockSkewMilliseconds;
}
