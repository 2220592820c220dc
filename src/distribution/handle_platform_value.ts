import { createHash } from "node:crypto";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { isSameVersion } from "../configuration/is_same_version.ts";
import { parseConfiguration } from "../configuration/parse_configuration.ts";
import type { ConfigurationSet } from "../configuration/configuration_set.ts";
import { splitConfiguration } from "../configuration/split_configuration.ts";
import type { PlatformValue } from "../platform/platform_value.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { acceptConfigurationSet } from "./accept_configuration_set.ts";
import { chainSteps } from "./chain_steps.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { recordVersionConflict } from "./record_version_conflict.ts";
import { refuseContent } from "./refuse_content.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

const source = "platform";

/** Handles a document that the operators have published. */
export function handlePlatformValue(
  state: DistributionState,
  { text }: PlatformValue,
  context: DistributionContext,
): Transition {
  const maxBytes = context.settings.limits.configurationBytes;
  return parseConfiguration(text, { maxBytes })
    .andThen((configuration) =>
      splitConfiguration(configuration, state.versions.inForce?.set)
    )
    .match({
      Ok: (set) => handleConfigurationSet(state, set, context),
      Err: (reasons) =>
        refuseContent(state, {
          contentDigest: createHash("sha256").update(text).digest("hex"),
          version: undefined,
          reasons,
          source,
          now: context.now,
        }),
    });
}

function handleConfigurationSet(
  state: DistributionState,
  set: ConfigurationSet,
  context: DistributionContext,
): Transition {
  const { version } = set;
  return chainSteps(state, [
    (current) => recordVersionConflict(current, { version, source }),
    (current) =>
      isNewerVersion(current.versions.inForce?.set.version, version)
        ? ignoreOlderVersion(current, set)
        : acceptConfigurationSet(
          current,
          { set, source, fromPlatform: true },
          context,
        ),
  ]);
}

/**
 * Ignores a version that is older than the one in force, since the platform may
 * be stale or operators may have published an old document. Consecutive reads
 * of the same version are recorded once.
 */
function ignoreOlderVersion(
  state: DistributionState,
  { version }: ConfigurationSet,
): Transition {
  const { platform, versions } = state;
  if (isSameVersion(platform.lastIgnoredVersion, version)) {
    return createTransition(state);
  }
  return {
    state: { ...state, platform: { ...platform, lastIgnoredVersion: version } },
    effects: [createAuditEffect({
      kind: AuditEntryKind.ConfigurationOlderIgnored,
      fromVersion: versions.inForce?.set.version,
      toVersion: version,
      source,
      reasons: [],
    })],
  };
}
