import { extendRefusedContact } from "../../src/calls/extend_refused_contact.ts";
import { LedgerEventKind } from "../../src/calls/ledger_event_kind.ts";
import type { RefusedContact } from "../../src/calls/refused_contact.ts";
import type { LedgerMessage } from "./ledger_message.ts";
import type { LedgerNode } from "./ledger_node.ts";
import type { LedgerSimulation } from "./ledger_simulation.ts";
import { stepLedgerNode } from "./step_ledger_node.ts";

/**
 * Loses a message and reports to the node that sent the query that no reply
 * arrived. A queried node that is not running refuses the connection.
 */
export function loseLedgerMessage(
  simulation: LedgerSimulation,
  message: LedgerMessage,
): void {
  const querier = simulation.nodes[message.querier]!;
  if (querier.running && querier.incarnation === message.querierIncarnation) {
    stepLedgerNode(simulation, message.querier, {
      kind: LedgerEventKind.SettlementMissing,
      from: simulation.nodes[message.queried]!.server.name,
      attemptIdentifier: message.attemptIdentifier,
      goneAt: simulation.goneAt.get(message.queried),
      refused: updateRefusedContact(simulation, message, querier),
    });
  }
}

function updateRefusedContact(
  simulation: LedgerSimulation,
  message: LedgerMessage,
  querier: LedgerNode,
): RefusedContact | undefined {
  if (simulation.nodes[message.queried]!.running) {
    querier.refusedContacts.delete(message.queried);
    return undefined;
  }
  const contact = extendRefusedContact(
    querier.refusedContacts.get(message.queried),
    {
      begunAt: message.sentAt,
      refusedAt: simulation.now + querier.skewMilliseconds,
    },
  );
  querier.refusedContacts.set(message.queried, contact);
  return contact;
}
