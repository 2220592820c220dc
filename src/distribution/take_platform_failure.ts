import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { Transition } from "./transition.ts";

/** Notes that a read or watch failed; the next one follows after a span that doubles, with full jitter. */
export function takePlatformFailure(
  state: DistributionState,
  reason: Diagnostic,
  { now, random }: DistributionContext,
): Transition {
  const { platform } = state;
  const span = Math.min(
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
        notBefore: now + span,
        nextReadAt: now + span * random.next() +
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
