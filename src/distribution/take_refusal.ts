import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { sendsOfChange } from "../peers/sends_of_change.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { RefusalNotice } from "./refusal_notice.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";

/**
 * Takes over a refusal found here or heard from a peer, and passes it on. One
 * that is about the time before the version in force is old news, and of two
 * the later observed stays.
 */
export function takeRefusal(
  state: DistributionState,
  heard: {
    readonly notice: RefusalNotice | undefined;
    readonly source: string;
  },
): Transition {
  const { notice, source } = heard;
  const { versions } = state;
  const inForce = versions.inForce?.set.version;
  if (
    notice === undefined ||
    notice.contentDigest === versions.refusal?.contentDigest ||
    isNewerVersion(inForce, notice.inForce) ||
    (versions.refusal?.observedAt ?? -Infinity) >= notice.observedAt
  ) {
    return stay(state);
  }
  return {
    state: {
      ...state,
      versions: { ...versions, refusal: notice, refusalSends: sendsOfChange },
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
