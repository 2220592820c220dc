import { getHandoverTimes } from "../quotas/get_handover_times.ts";
import type { GranterState } from "../quotas/granter_state.ts";
import { QuotaMessageKind } from "../quotas/quota_message_kind.ts";
import { releaseReplySchema } from "../quotas/release_reply_schema.ts";
import { shouldRequestLease } from "../quotas/should_request_lease.ts";
import { startLease } from "../quotas/start_lease.ts";
import type { MeshNode } from "./mesh_node.ts";
import { sendQuotaMessage } from "./send_quota_message.ts";

/**
 * Asks the owner of a quota whether this node, its deputy, may grant in its
 * place, since nodes ask it for tokens. Does nothing if this was asked of late.
 */
export function requestLease(
  node: MeshNode,
  granter: GranterState,
  { organisation }: { readonly organisation: string },
): void {
  const { leaseClock } = node.quotas;
  const ownHost = node.settings.backendServer.host;
  const { owner } = granter.hosts;
  const requestedAt = leaseClock.now();
  const now = node.clock.now();
  const isDue = shouldRequestLease(granter, {
    ownHost,
    leaseNow: requestedAt,
    now,
  });
  if (!isDue || owner === undefined) return;
  granter.leaseRequestedAt = now;
  void sendQuotaMessage(node, {
    kind: QuotaMessageKind.Lease,
    organisation,
    host: ownHost,
  }, { host: owner }).then((reply) => {
    const parsed = releaseReplySchema.safeParse(reply);
    // Another node may be the owner by now.
    if (granter.hosts.owner !== owner) return;
    if (!parsed.success || !parsed.data.released) return;
    const { handoverMilliseconds } = getHandoverTimes(
      node.settings.sourceBounds,
    );
    startLease(granter, {
      requestedAt,
      leaseNow: leaseClock.now(),
      handoverMilliseconds,
      now: node.clock.now(),
    });
  });
}
