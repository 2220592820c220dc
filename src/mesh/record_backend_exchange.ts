import { match } from "ts-pattern";
import { ServerCondition } from "../gate/server_condition.ts";
import type { BackendExchange } from "./backend_exchange.ts";
import { BackendExchangeKind } from "./backend_exchange_kind.ts";
import type { MeshNode } from "./mesh_node.ts";
import { recordProbedIdentifier } from "./record_probed_identifier.ts";
import { recordServerStatement } from "./record_server_statement.ts";
import { scheduleEarlyProbe } from "./schedule_early_probe.ts";
import { setServerCondition } from "./set_server_condition.ts";

/** Updates the condition of the backend server after an exchange. */
export function recordBackendExchange(
  node: MeshNode,
  exchange: BackendExchange,
  options: {
    /** When the request was sent, in milliseconds since the Unix epoch. */
    readonly sentAt: number;
  },
): void {
  // Most exchanges end with an answer.
  if (exchange.kind === BackendExchangeKind.Answered) {
    setServerCondition(node, ServerCondition.Up);
    recordServerStatement(node, exchange.head, { ranSince: options.sentAt });
    return;
  }
  match(exchange)
    .with({ kind: BackendExchangeKind.NotRun }, ({ head }) => {
      setServerCondition(node, ServerCondition.Up);
      recordServerStatement(node, head, { ranSince: undefined });
    })
    .with(
      { kind: BackendExchangeKind.ConnectionRejected },
      () => setServerCondition(node, ServerCondition.Up),
    )
    .with({ kind: BackendExchangeKind.Misdirected }, ({ head }) => {
      recordProbedIdentifier(node, head.identifier);
      scheduleEarlyProbe(node);
    })
    .with(
      { kind: BackendExchangeKind.NotConnected },
      () => setServerCondition(node, ServerCondition.Down),
    )
    .with({ kind: BackendExchangeKind.Broken }, () => scheduleEarlyProbe(node))
    .exhaustive();
}
