import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { sendsPerChange } from "../peers/sends_per_change.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { RefusalNotice } from "./refusal_notice.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Records a refusal found on this node or received from a peer, and schedules
 * it to be passed on. A refusal by a node whose version in force was older than
 * that of this node is obsolete; of two refusals, the one observed later is
 * kept.
 */
export function recordRefusal(
  state: DistributionState,
  report: {
    readonly notice: RefusalNotice | undefined;
    readonly source: string;
  },
): Transition {
  const { notice, source } = report;
  const { versions } = state;
  const inForce = versions.inForce?.set.version;
  if (
    notice === undefined ||
    notice.contentDigest === versions.refusal?.contentDigest ||
    isNewerVersion(inForce, notice.inForce) ||
    (versions.refusal?.observedAt ?? -Infinity) >= notice.observedAt
  ) {
    return createTransition(state);
  }
  return {
    state: {
      ...state,
      versions: {
        ...versions,
        refusal: notice,
        remainingRefusalSends: sendsPerChange,
      },
    },
    effects: [createAuditEffect({
      kind: AuditEntryKind.ConfigurationRefused,
      fromVersion: inForce,
      toVersion: notice.version,
      source,
      reasons: notice.reasons,
    })],
  };
}
