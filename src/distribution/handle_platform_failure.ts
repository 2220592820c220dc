import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { Transition } from "./transition.ts";

/**
 * Handles the failure of a platform read or watch. The next one starts after an
 * exponential backoff with full jitter.
 */
export function handlePlatformFailure(
  state: DistributionState,
  reason: Diagnostic,
  { now, random }: DistributionContext,
): Transition {
  const { platform } = state;
  const backoff = Math.min(
    distributionLimits.maxPlatformRetryMilliseconds,
    distributionLimits.platformRetryMilliseconds * 2 ** platform.failures,
  );
  return {
    state: {
      ...state,
      platform: {
        ...platform,
        isReading: false,
        reachable: false,
        failures: platform.failures + 1,
        earliestReadAt: now + backoff,
        nextReadAt: now + backoff * random.next() +
          (platform.isReader
            ? 0
            : distributionLimits.platformSilenceMilliseconds),
      },
    },
    effects: platform.reachable === false ? [] : [createAuditEffect({
      kind: AuditEntryKind.PlatformLost,
      source: "platform",
      reasons: [reason],
    })],
  };
}
