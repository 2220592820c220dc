import { match } from "ts-pattern";
import { ServerCondition } from "../gate/server_condition.ts";
import type { BackendExchange } from "./backend_exchange.ts";
import { BackendExchangeKind } from "./backend_exchange_kind.ts";
import type { MeshNode } from "./mesh_node.ts";
import { noteServerDoubt } from "./note_server_doubt.ts";
import { setServerCondition } from "./set_server_condition.ts";

/** Learns from an exchange how the backend server is. */
export function noteBackendExchange(
  node: MeshNode,
  exchange: BackendExchange,
): void {
  match(exchange)
    .with(
      { kind: BackendExchangeKind.Answered },
      { kind: BackendExchangeKind.TurnedAway },
      () => setServerCondition(node, ServerCondition.Up),
    )
    .with({ kind: BackendExchangeKind.Misdirected }, ({ head }) => {
      node.serverWatch.probedIdentifier = head.identifier;
      noteServerDoubt(node);
    })
    .with(
      { kind: BackendExchangeKind.NotConnected },
      () => setServerCondition(node, ServerCondition.Down),
    )
    .with({ kind: BackendExchangeKind.Broken }, () => noteServerDoubt(node))
    .exhaustive();
}
