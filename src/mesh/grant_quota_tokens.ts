import { getQuotaRole } from "../quotas/get_quota_role.ts";
import { grantTokens } from "../quotas/grant_tokens.ts";
import { noTokenGrant } from "../quotas/no_token_grant.ts";
import { QuotaRole } from "../quotas/quota_role.ts";
import type { TokenGrant } from "../quotas/token_grant.ts";
import type { TokenRequest } from "../quotas/token_request.ts";
import { isGrantingPaused } from "./is_granting_paused.ts";
import type { MeshNode } from "./mesh_node.ts";
import { requestLease } from "./request_lease.ts";

/** Grants tokens of an organisation to the node on `host`, which may be this one. */
export function grantQuotaTokens(
  node: MeshNode,
  request: TokenRequest,
  options: { readonly organisation: string; readonly host: string },
): TokenGrant {
  const { organisation, host } = options;
  const { quotas, settings } = node;
  const granter = quotas.granters.get(organisation);
  if (granter === undefined) return noTokenGrant;
  const now = node.clock.now();
  const role = getQuotaRole(granter, {
    ownHost: settings.backendServer.host,
    isPaused: isGrantingPaused(node),
    leaseNow: quotas.leaseClock.now(),
    now,
  });
  if (role !== QuotaRole.None) requestLease(node, granter, { organisation });
  const grant = grantTokens(granter, request, { role, host, now });
  const granted = quotas.grantedTokens.get(organisation) ?? 0;
  quotas.grantedTokens.set(organisation, granted + grant.tokens);
  return grant;
}
