import { getTokensToRequest } from "../quotas/get_tokens_to_request.ts";
import { recordTokenGrant } from "../quotas/record_token_grant.ts";
import type { TokenRequest } from "../quotas/token_request.ts";
import { tryTakeToken } from "../quotas/try_take_token.ts";
import { askOwnerOrDeputy } from "./ask_owner_or_deputy.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { QuotaHolder } from "./quota_holder.ts";
import { reportInternalError } from "./report_internal_error.ts";

interface Options {
  readonly organisation: string;
}

/**
 * Requests tokens for all calls that wait, and for those expected soon; again
 * while further calls wait. One request of an organisation is in flight.
 */
export async function requestTokens(
  node: MeshNode,
  holder: QuotaHolder,
  options: Options,
): Promise<void> {
  if (holder.requesting) return;
  holder.requesting = true;
  try {
    do {
      await requestOnce(node, holder, options);
    } while (holder.waiters.length > 0);
  } catch (error) {
    reportInternalError(node, { callIdentifier: "quota", error });
    holder.waiters.splice(0).forEach((settle) => settle(undefined));
  } finally {
    holder.requesting = false;
  }
}

/** Settles the calls that wait at the beginning, and others for which there are tokens. */
async function requestOnce(
  node: MeshNode,
  holder: QuotaHolder,
  options: Options,
): Promise<void> {
  const { state, waiters } = holder;
  const { leaseClock } = node.quotas;
  const sentAt = leaseClock.now();
  const waitingCalls = waiters.length;
  const request: TokenRequest = {
    waitingCalls,
    expectedCalls: getTokensToRequest(state, sentAt),
  };
  const grant = await askOwnerOrDeputy(node, holder, { ...options, request });
  const now = leaseClock.now();
  recordTokenGrant(state, grant, { sentAt, now });
  const refusedCalls = Math.max(0, waitingCalls - grant.tokens);
  waiters.splice(0, waitingCalls - refusedCalls)
    .forEach((settle) => settle(tryTakeToken(state, leaseClock.now())));
  // Those that came meanwhile would be refused as well.
  if (refusedCalls > 0) {
    waiters.splice(0).forEach((settle) => settle(undefined));
  }
}
