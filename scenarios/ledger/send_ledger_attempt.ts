import { getPredecessors } from "../../src/calls/get_predecessors.ts";
import { LedgerEventKind } from "../../src/calls/ledger_event_kind.ts";
import { ledgerClockSkew } from "./ledger_clock_skew_milliseconds.ts";
import { ledgerKey } from "./ledger_key.ts";
import type { LedgerWorld } from "./ledger_simulation.ts";
import { stepLedgerNode } from "./step_ledger_node.ts";

/** Lets the caller's next attempt arrive at a node, by rank. */
export function sendLedgerAttempt(world: LedgerWorld, position: number): void {
  const node = world.nodes[position]!;
  world.firstAttemptAt ??= world.now;
  world.attempts += 1;
  const attemptIdentifier = `attempt-${world.attempts}`;
  if (!node.running) {
    world.outcomes.set(attemptIdentifier, "unreachable");
    return;
  }
  const firstAttemptAt = world.tellsFirstAttempt
    ? world.firstAttemptAt
    : undefined;
  const predecessors = getPredecessors(
    world.nodes.map(({ server }) => server),
    ledgerKey,
    {
      self: node.server.name,
      firstAttemptAt,
      ledgerSince: node.ledgerSince,
      isGone: (server) => isGoneBefore(world, server.name),
    },
  );
  stepLedgerNode(world, position, {
    kind: LedgerEventKind.Requested,
    fingerprint: "one cake",
    attemptIdentifier,
    firstAttemptAt,
    predecessors,
  });
}

function isGoneBefore(world: LedgerWorld, name: string): boolean {
  const position = world.nodes.findIndex((node) => node.server.name === name);
  const goneAt = world.goneAt.get(position) ?? Infinity;
  return (world.firstAttemptAt ?? world.now) > goneAt + ledgerClockSkew;
}
