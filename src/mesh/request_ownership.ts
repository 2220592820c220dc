import type { GranterState } from "../quotas/granter_state.ts";
import { establishOwner } from "../quotas/establish_owner.ts";
import { QuotaMessageKind } from "../quotas/quota_message_kind.ts";
import { releaseReplySchema } from "../quotas/release_reply_schema.ts";
import type { MeshNode } from "./mesh_node.ts";
import { sendQuotaMessage } from "./send_quota_message.ts";

const attemptsMaximum = 4;
const attemptIntervalMilliseconds = 250;

/**
 * Asks the owner before this node to give the quota up, so that this node need
 * not wait until the other one cannot grant any more. Does nothing if this node
 * is not the owner, or is established.
 */
export function requestOwnership(
  node: MeshNode,
  granter: GranterState,
  options: { readonly organisation: string; readonly attempt?: number },
): void {
  const { organisation, attempt = 1 } = options;
  const { predecessor, establishedAt } = granter;
  const host = node.settings.backendServer.host;
  const isWaiting = Number.isFinite(establishedAt) &&
    establishedAt > node.clock.now();
  if (!isWaiting || predecessor === undefined || predecessor === host) return;
  void sendQuotaMessage(node, {
    kind: QuotaMessageKind.Release,
    organisation,
    host,
  }, { host: predecessor }).then((reply) => {
    if (granter.establishedAt !== establishedAt) return;
    const parsed = releaseReplySchema.safeParse(reply);
    if (parsed.success && parsed.data.released) {
      establishOwner(granter, { establishedAt: node.clock.now() });
      return;
    }
    if (attempt >= attemptsMaximum) return;
    node.timers.at(
      node.clock.now() + attemptIntervalMilliseconds,
      () =>
        requestOwnership(node, granter, { organisation, attempt: attempt + 1 }),
    );
  });
}
