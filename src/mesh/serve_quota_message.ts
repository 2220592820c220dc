import type { ServerResponse } from "node:http";
import { match } from "ts-pattern";
import { tryParseJson } from "../daemon/try_parse_json.ts";
import { getHandoverTimes } from "../quotas/get_handover_times.ts";
import type { QuotaMessage } from "../quotas/quota_message.ts";
import { QuotaMessageKind } from "../quotas/quota_message_kind.ts";
import { quotaMessageSchema } from "../quotas/quota_message_schema.ts";
import { isQuotaLeased } from "../quotas/is_quota_leased.ts";
import { tryLeaseQuota } from "../quotas/try_lease_quota.ts";
import { tryReleaseOwnership } from "../quotas/try_release_ownership.ts";
import { grantQuotaTokens } from "./grant_quota_tokens.ts";
import { isGrantingPaused } from "./is_granting_paused.ts";
import type { MeshNode } from "./mesh_node.ts";

const okStatus = 200;
const invalidStatus = 400;

/** Replies to another node's message about a quota. */
export function serveQuotaMessage(
  node: MeshNode,
  options: { readonly message: string; readonly response: ServerResponse },
): void {
  const { message, response } = options;
  const parsed = quotaMessageSchema.safeParse(
    tryParseJson(message),
  );
  if (!parsed.success) {
    response.writeHead(invalidStatus).end();
    return;
  }
  const reply = JSON.stringify(createReply(node, parsed.data));
  // Replies are as frequent as calls, and bytes between zones are paid for.
  response.sendDate = false;
  response.writeHead(okStatus, {
    "content-length": String(Buffer.byteLength(reply)),
  }).end(reply);
}

function createReply(
  node: MeshNode,
  message: QuotaMessage,
) {
  const { granters, leaseClock } = node.quotas;
  const { handoverMilliseconds } = getHandoverTimes(node.settings.sourceBounds);
  const now = node.clock.now();
  return match(message)
    .with(
      { kind: QuotaMessageKind.Tokens },
      ({ host, organisation, ...request }) =>
        grantQuotaTokens(node, request, { organisation, host }),
    )
    .with({ kind: QuotaMessageKind.Lease }, ({ host, organisation }) => {
      const granter = granters.get(organisation);
      return {
        released: granter !== undefined &&
          tryLeaseQuota(granter, {
            host,
            isPaused: isGrantingPaused(node),
            handoverMilliseconds,
            now,
          }),
      };
    })
    .with({ kind: QuotaMessageKind.Release }, ({ host, organisation }) => {
      const granter = granters.get(organisation);
      return {
        leased: granter !== undefined && isQuotaLeased(granter, now),
        released: granter !== undefined &&
          tryReleaseOwnership(granter, {
            host,
            handoverMilliseconds,
            leaseNow: leaseClock.now(),
            now,
          }),
      };
    })
    .exhaustive();
}
