import { QuotaRole } from "./quota_role.ts";
import type { TokenGrant } from "./token_grant.ts";

/** What a node without a granter grants, and what counts if a node does not reply. */
export const noTokenGrant: TokenGrant = {
  role: QuotaRole.None,
  tokens: 0,
  retryMilliseconds: 0,
};
