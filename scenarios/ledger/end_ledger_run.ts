import { LedgerEventKind } from "../../src/calls/ledger_event_kind.ts";
import { SettlementKind } from "../../src/calls/settlement_kind.ts";
import type { LedgerWorld } from "./ledger_simulation.ts";
import { stepLedgerNode } from "./step_ledger_node.ts";

const answerStatus = 201;

/** Ends the run at a node's backend server, whole or without an answer. */
export function endLedgerRun(
  world: LedgerWorld,
  position: number,
  whole: boolean,
): void {
  const node = world.nodes[position]!;
  const attemptIdentifier = node.runningAttempt;
  if (attemptIdentifier === undefined || !node.running) {
    return;
  }
  node.runningAttempt = undefined;
  if (whole) {
    world.outcomes.set(attemptIdentifier, "answered");
  }
  stepLedgerNode(world, position, {
    kind: LedgerEventKind.Concluded,
    attemptIdentifier,
    outcome: whole ? SettlementKind.Finished : SettlementKind.Unknown,
    answer: whole
      ? {
        head: { status: answerStatus, headers: [], declaredLength: 0 },
        body: new Uint8Array(),
      }
      : undefined,
  });
}
