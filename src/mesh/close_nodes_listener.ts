import { RefusalReason } from "../calls/refusal_reason.ts";
import { formatRawResponse } from "../daemon/format_raw_response.ts";
import type { Listener } from "../daemon/listener.ts";
import { createReplyHeaders } from "./create_reply_headers.ts";
import { getGateLoad } from "./get_gate_load.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";

/** Longest wait for other nodes to close their connections. */
const closeMillisecondsMaximum = 300;
const refusedStatus = 503;

/**
 * Closes the listener for other nodes at the end of a stop. An offer that is in
 * transit on an idle connection gets the reply that it has not run, instead of a
 * reset after which its outcome would be unknown. Resolves when the connections
 * are closed, or after a short time.
 */
export async function closeNodesListener(
  node: MeshNode,
  listener: Listener,
): Promise<void> {
  const refusal = formatRawResponse({
    status: refusedStatus,
    headers: createReplyHeaders({
      kind: OfferOutcomeKind.Refused,
      reason: RefusalReason.NodeDraining,
      load: getGateLoad(node),
    }),
    body: "",
  });
  await new Promise<void>((resolve) => {
    const latest = node.clock.now() + closeMillisecondsMaximum;
    const timer = node.timers.at(latest, resolve);
    void listener.close(refusal).then(() => {
      timer.cancel();
      resolve();
    });
  });
}
