import { LedgerEffectKind } from "../../src/calls/ledger_effect_kind.ts";
import { LedgerEventKind } from "../../src/calls/ledger_event_kind.ts";
import type { LedgerMessage } from "./ledger_message.ts";
import type { LedgerSimulation } from "./ledger_simulation.ts";
import { loseLedgerMessage } from "./lose_ledger_message.ts";
import { stepLedgerNode } from "./step_ledger_node.ts";

/** Delivers a message; a query that is delivered adds its reply as a new message. */
export function deliverLedgerMessage(
  simulation: LedgerSimulation,
  message: LedgerMessage,
): void {
  const querier = simulation.nodes[message.querier]!;
  const queried = simulation.nodes[message.queried]!;
  if (message.settlement === undefined) {
    if (!queried.running) {
      loseLedgerMessage(simulation, message);
      return;
    }
    stepLedgerNode(simulation, message.queried, {
      kind: LedgerEventKind.Queried,
      by: querier.server,
    }).forEach((effect) => {
      if (effect.kind === LedgerEffectKind.Reply) {
        simulation.messages.push({ ...message, settlement: effect.settlement });
      }
    });
    return;
  }
  if (querier.running && querier.incarnation === message.querierIncarnation) {
    querier.refusedContacts.delete(message.queried);
    stepLedgerNode(simulation, message.querier, {
      kind: LedgerEventKind.SettlementReceived,
      from: queried.server.name,
      attemptIdentifier: message.attemptIdentifier,
      settlement: message.settlement,
    });
  }
}
