import { LedgerEventKind } from "../../src/calls/ledger_event_kind.ts";
import { SettlementKind } from "../../src/calls/settlement_kind.ts";
import type { LedgerSimulation } from "./ledger_simulation.ts";
import { stepLedgerNode } from "./step_ledger_node.ts";

const answerStatus = 201;

/** Ends the run at a node's backend server, with a complete answer or without one. */
export function endLedgerRun(
  simulation: LedgerSimulation,
  position: number,
  complete: boolean,
): void {
  const node = simulation.nodes[position]!;
  const attemptIdentifier = node.runningAttempt;
  if (attemptIdentifier === undefined || !node.running) {
    return;
  }
  node.runningAttempt = undefined;
  if (complete) {
    simulation.outcomes.set(attemptIdentifier, "answered");
  }
  stepLedgerNode(simulation, position, {
    kind: LedgerEventKind.AttemptEnded,
    attemptIdentifier,
    outcome: complete ? SettlementKind.Finished : SettlementKind.Unknown,
    answer: complete
      ? {
        head: { status: answerStatus, headers: [], declaredLength: 0 },
        body: new Uint8Array(),
      }
      : undefined,
  });
}
