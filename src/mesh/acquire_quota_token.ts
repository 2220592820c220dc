import { countQuotaCall } from "../quotas/count_quota_call.ts";
import type { HeldTokens } from "../quotas/held_tokens.ts";
import { shouldRefreshTokens } from "../quotas/should_refresh_tokens.ts";
import { tryTakeToken } from "../quotas/try_take_token.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { QuotaHolder } from "./quota_holder.ts";
import { requestTokens } from "./request_tokens.ts";

/**
 * Acquires a token for a call, with a request to another node only if this one
 * holds none. Resolves with undefined if there is no token for it.
 */
export function acquireQuotaToken(
  node: MeshNode,
  holder: QuotaHolder,
  options: { readonly organisation: string },
): Promise<HeldTokens | undefined> {
  const { state } = holder;
  const now = node.quotas.leaseClock.now();
  countQuotaCall(state, now);
  const token = tryTakeToken(state, now);
  if (token !== undefined) {
    if (shouldRefreshTokens(state, now)) {
      void requestTokens(node, holder, options);
    }
    return Promise.resolve(token);
  }
  if (now < state.refusedUntil) return Promise.resolve(undefined);
  return new Promise((resolve) => {
    holder.waiters.push(resolve);
    void requestTokens(node, holder, options);
  });
}
