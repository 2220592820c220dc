import { LedgerEventKind } from "../../src/calls/ledger_event_kind.ts";
import type { LedgerMessage } from "./ledger_message.ts";
import type { LedgerWorld } from "./ledger_world.ts";
import { stepLedgerNode } from "./step_ledger_node.ts";

/** Lets the node that asked find out that no answer came. */
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
      refused: undefined,
    });
  }
}
