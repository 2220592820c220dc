import type { BackendExchange } from "./backend_exchange.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { GateOffer } from "./gate_offer.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Reports the end of an exchange with the backend server of this VM. */
export function reportExchange(
  node: MeshNode,
  offer: GateOffer,
  options: {
    readonly exchange: BackendExchange;
    /** Whether the caller or the offering node ended the exchange. */
    readonly cancelled: boolean;
    /** When the call was offered, in milliseconds since the Unix epoch. */
    readonly offeredAt: number;
    /** When the call got its slot, in milliseconds since the Unix epoch. */
    readonly startedAt: number;
  },
): void {
  const { exchange, cancelled, offeredAt, startedAt } = options;
  node.report.call({
    kind: CallEventKind.Exchanged,
    call: offer.callIdentifier,
    route: offer.route,
    service: offer.service,
    outcome: exchange.kind,
    cancelled,
    waitedMilliseconds: Math.round(startedAt - offeredAt),
    elapsedMilliseconds: Math.round(node.clock.now() - startedAt),
  });
}
