import type { Version } from "../configuration/version.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { recordRefusal } from "./record_refusal.ts";
import type { Transition } from "./transition.ts";

/**
 * Refuses a published document, or a version assembled from parts, and records
 * the reasons.
 */
export function refuseContent(
  state: DistributionState,
  refused: {
    readonly contentDigest: string;
    readonly version: Version | undefined;
    readonly reasons: readonly Diagnostic[];
    readonly source: string;
    readonly now: number;
  },
): Transition {
  const { contentDigest, version, source } = refused;
  const { versions } = state;
  return recordRefusal({
    ...state,
    versions: {
      ...versions,
      refusedDigests: [
        ...versions.refusedDigests.filter((digest) => digest !== contentDigest),
        contentDigest,
      ].slice(-distributionLimits.maxRefusedDigests),
    },
  }, {
    source,
    notice: {
      contentDigest,
      version,
      reasons: refused.reasons.slice(0, distributionLimits.maxRefusalReasons),
      inForce: versions.inForce?.set.version,
      observedAt: refused.now,
    },
  });
}
