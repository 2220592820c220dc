import { getOrCreate } from "../collections/get_or_create.ts";
import { Outcome } from "../calls/outcome.ts";
import { addHeldTokens } from "../quotas/add_held_tokens.ts";
import { createHolderState } from "../quotas/create_holder_state.ts";
import { acquireQuotaToken } from "./acquire_quota_token.ts";
import type { CallPlan } from "./call_plan.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";
import { createQuotaRefusal } from "./create_quota_refusal.ts";
import { hasQuota } from "./has_quota.ts";
import type { MeshNode } from "./mesh_node.ts";
import { processCall } from "./process_call.ts";
import type { QuotaHolder } from "./quota_holder.ts";

/**
 * Processes a call if its organisation has a token for it. A call that has not
 * run gives its token back.
 */
export async function processWithinQuota(
  node: MeshNode,
  plan: CallPlan,
): Promise<CallResult> {
  const { organisation } = plan;
  if (organisation === undefined || !hasQuota(organisation)) {
    return await processCall(node, plan);
  }
  const { holders, leaseClock } = node.quotas;
  const holder = getOrCreate(holders, organisation.name, {
    create: (): QuotaHolder => ({
      state: createHolderState(leaseClock.now()),
      waiters: [],
      requesting: false,
      isOwnerUnreachable: false,
      refusedCalls: 0,
    }),
  });
  const token = await acquireQuotaToken(node, holder, {
    organisation: organisation.name,
  });
  if (token === undefined) return createQuotaRefusal(node, holder);
  const result = await processCall(node, plan);
  const hasNotRun = result.kind === CallResultKind.Refused &&
    result.outcome === Outcome.NotRun;
  if (hasNotRun) addHeldTokens(holder.state, token);
  return result;
}
