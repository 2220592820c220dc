import { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import { createQuarantineRefusal } from "./create_quarantine_refusal.ts";
import { createFingerprintGetter } from "./create_fingerprint_getter.ts";
import { getQuarantineMilliseconds } from "./get_quarantine_milliseconds.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Refuses a call whose request is quarantined; returns undefined if it may be
 * offered. Its backend servers are spared also by nodes that do not know it yet.
 */
export function tryRefuseQuarantinedCall(
  node: MeshNode,
  progress: CallProgress,
): CallResult | undefined {
  const retryMilliseconds = getQuarantineMilliseconds(
    node,
    createFingerprintGetter(progress.plan.request, {
      callerService: node.settings.service,
    }),
  );
  if (retryMilliseconds === 0) return undefined;
  progress.lastReason = RefusalReason.RequestQuarantined;
  return createQuarantineRefusal(progress, { retryMilliseconds });
}
