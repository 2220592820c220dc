import { countHeldTokens } from "../quotas/count_held_tokens.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { QuotaCount } from "./quota_count.ts";

/** Bounds the number of labels; the organisations with the most calls are named. */
const countsMaximum = 200;

/** Lists what a node has granted, holds and has refused, by organisation. */
export function listQuotaCounts(
  { quotas }: Pick<MeshNode, "quotas">,
): readonly QuotaCount[] {
  const now = quotas.leaseClock.now();
  const granted = Array.from(
    quotas.grantedTokens,
    ([organisation, calls]) =>
      createCount(organisation, { kind: "granted", calls }),
  );
  const holders = Array.from(quotas.holders, ([organisation, holder]) => [
    createCount(organisation, {
      kind: "held",
      calls: countHeldTokens(holder.state, now),
    }),
    createCount(organisation, { kind: "refused", calls: holder.refusedCalls }),
  ]);
  return [...granted, ...holders.flat()]
    .filter(({ calls }) => calls > 0)
    .sort((left, right) => right.calls - left.calls)
    .slice(0, countsMaximum);
}

function createCount(
  organisation: string,
  options: {
    readonly kind: QuotaCount["labels"]["kind"];
    readonly calls: number;
  },
): QuotaCount {
  const { kind, calls } = options;
  return { labels: { organisation, kind }, calls };
}
