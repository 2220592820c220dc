import { extendRefusedContact } from "../../src/calls/extend_refused_contact.ts";
import { LedgerEventKind } from "../../src/calls/ledger_event_kind.ts";
import type { RefusedContact } from "../../src/calls/refused_contact.ts";
import type { LedgerMessage } from "./ledger_message.ts";
import type { LedgerNode } from "./ledger_node.ts";
import type { LedgerWorld } from "./ledger_simulation.ts";
import { stepLedgerNode } from "./step_ledger_node.ts";

/** Lets the node that asked find out that no answer came; a node that does not run refuses the connection. */
export function loseLedgerMessage(
  world: LedgerWorld,
  message: LedgerMessage,
): void {
  const asker = world.nodes[message.asker]!;
  if (asker.running && asker.incarnation === message.askerIncarnation) {
    stepLedgerNode(world, message.asker, {
      kind: LedgerEventKind.Unanswered,
      from: world.nodes[message.asked]!.server.name,
      attemptIdentifier: message.attemptIdentifier,
      goneAt: world.goneAt.get(message.asked),
      refused: noteContact(world, message, asker),
    });
  }
}

function noteContact(
  world: LedgerWorld,
  message: LedgerMessage,
  asker: LedgerNode,
): RefusedContact | undefined {
  if (world.nodes[message.asked]!.running) {
    asker.refusedContacts.delete(message.asked);
    return undefined;
  }
  const contact = extendRefusedContact(
    asker.refusedContacts.get(message.asked),
    {
      begunAt: message.sentAt,
      refusedAt: world.now + asker.skewMilliseconds,
    },
  );
  asker.refusedContacts.set(message.asked, contact);
  return contact;
}
