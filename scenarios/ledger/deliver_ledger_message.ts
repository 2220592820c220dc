import { LedgerEffectKind } from "../../src/calls/ledger_effect_kind.ts";
import { LedgerEventKind } from "../../src/calls/ledger_event_kind.ts";
import type { LedgerMessage } from "./ledger_message.ts";
import type { LedgerWorld } from "./ledger_simulation.ts";
import { loseLedgerMessage } from "./lose_ledger_message.ts";
import { stepLedgerNode } from "./step_ledger_node.ts";

/** Delivers one message; a question brings forth its answer as a new message. */
export function deliverLedgerMessage(
  world: LedgerWorld,
  message: LedgerMessage,
): void {
  const asker = world.nodes[message.asker]!;
  const asked = world.nodes[message.asked]!;
  if (message.settlement === undefined) {
    if (!asked.running) {
      loseLedgerMessage(world, message);
      return;
    }
    stepLedgerNode(world, message.asked, {
      kind: LedgerEventKind.Asked,
      by: asker.server,
    }).forEach((effect) => {
      if (effect.kind === LedgerEffectKind.Reply) {
        world.messages.push({ ...message, settlement: effect.settlement });
      }
    });
    return;
  }
  if (asker.running && asker.incarnation === message.askerIncarnation) {
    asker.refusedContacts.delete(message.asked);
    stepLedgerNode(world, message.asker, {
      kind: LedgerEventKind.Answered,
      from: asked.server.name,
      attemptIdentifier: message.attemptIdentifier,
      settlement: message.settlement,
    });
  }
}
