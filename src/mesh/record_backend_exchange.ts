import { match } from "ts-pattern";
import { recordOwnAnswer } from "../address_holder/record_own_answer.ts";
import { ServerCondition } from "../gate/server_condition.ts";
import type { ClockReading } from "../runtime/clock_reading.ts";
import type { BackendExchange } from "./backend_exchange.ts";
import { BackendExchangeKind } from "./backend_exchange_kind.ts";
import type { MeshNode } from "./mesh_node.ts";
import { recordMisdirection } from "./record_misdirection.ts";
import { recordServerStatement } from "./record_server_statement.ts";
import { scheduleEarlyProbe } from "./schedule_early_probe.ts";
import { setServerCondition } from "./set_server_condition.ts";

/** Updates the condition of the backend server after an exchange. */
export function recordBackendExchange(
  node: MeshNode,
  exchange: BackendExchange,
  options: {
    readonly sentAt: ClockReading;
    /** Identifier of the incarnation that the request named. */
    readonly target: string;
  },
): void {
  const { sentAt, target } = options;
  // Most exchanges end with an answer.
  if (exchange.kind === BackendExchangeKind.Answered) {
    recordOwnAnswer(node.addressHolder, { identifier: target, seenAt: sentAt });
    setServerCondition(node, ServerCondition.Up);
    const ranSince = sentAt.monotonic;
    recordServerStatement(node, exchange.head, { ranSince });
    return;
  }
  match(exchange)
    .with({ kind: BackendExchangeKind.NotRun }, ({ head }) => {
      const { identifier = target } = head;
      // A full backend server may reject before it checks whom the call names.
      if (identifier !== target) {
        recordMisdirection(node, { head, sentAt, target });
        return;
      }
      setServerCondition(node, ServerCondition.Up);
      recordServerStatement(node, head, { ranSince: undefined });
    })
    .with(
      { kind: BackendExchangeKind.ConnectionRejected },
      () => setServerCondition(node, ServerCondition.Up),
    )
    .with({ kind: BackendExchangeKind.Misdirected }, ({ head }) => {
      recordMisdirection(node, { head, sentAt, target });
    })
    .with(
      { kind: BackendExchangeKind.NotConnected },
      () => setServerCondition(node, ServerCondition.Down),
    )
    .with({ kind: BackendExchangeKind.Broken }, () => scheduleEarlyProbe(node))
    .exhaustive();
}
