import type { ServerResponse } from "node:http";
import { match } from "ts-pattern";
import { tryParseJson } from "../daemon/try_parse_json.ts";
import { getHandoverTimes } from "../quotas/get_handover_times.ts";
import type { QuotaMessage } from "../quotas/quota_message.ts";
import { QuotaMessageKind } from "../quotas/quota_message_kind.ts";
import { quotaMessageSchema } from "../quotas/quota_message_schema.ts";
import { tryReleaseOwnership } from "../quotas/try_release_ownership.ts";
import { grantQuotaTokens } from "./grant_quota_tokens.ts";
import type { MeshNode } from "./mesh_node.ts";
import { tryDecodeUriComponent } from "./try_decode_uri_component.ts";

const okStatus = 200;
const invalidStatus = 400;

/** Replies to another node's message about a quota. */
export function serveQuotaMessage(
  node: MeshNode,
  options: { readonly message: string; readonly response: ServerResponse },
): void {
  const { message, response } = options;
  const parsed = quotaMessageSchema.safeParse(
    tryParseJson(tryDecodeUriComponent(message) ?? ""),
  );
  if (!parsed.success) {
    response.writeHead(invalidStatus).end();
    return;
  }
  const reply = createReply(node, parsed.data);
  response.writeHead(okStatus).end(JSON.stringify(reply));
}

function createReply(
  node: MeshNode,
  message: QuotaMessage,
) {
  return match(message)
    .with(
      { kind: QuotaMessageKind.Tokens },
      ({ host, organisation, ...request }) =>
        grantQuotaTokens(node, request, { organisation, host }),
    )
    .with({ kind: QuotaMessageKind.Release }, ({ organisation }) => {
      const granter = node.quotas.granters.get(organisation);
      const { handoverMilliseconds } = getHandoverTimes(
        node.settings.sourceBounds,
      );
      return {
        released: granter !== undefined &&
          tryReleaseOwnership(granter, {
            handoverMilliseconds,
            now: node.clock.now(),
          }),
      };
    })
    .exhaustive();
}
