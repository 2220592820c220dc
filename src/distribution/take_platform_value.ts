import { createHash } from "node:crypto";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { isSameVersion } from "../configuration/is_same_version.ts";
import { parseConfiguration } from "../configuration/parse_configuration.ts";
import type { ConfigurationSet } from "../configuration/configuration_set.ts";
import { splitConfiguration } from "../configuration/split_configuration.ts";
import type { PlatformValue } from "../platform/platform_value.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { acceptSet } from "./accept_set.ts";
import { chainSteps } from "./chain_steps.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { noteVersionOffered } from "./note_version_offered.ts";
import { refuseContent } from "./refuse_content.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";

const source = "platform";

/** Takes a text that the operators have published. */
export function takePlatformValue(
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
      Ok: (set) => takeSet(state, set, context),
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

function takeSet(
  state: DistributionState,
  set: ConfigurationSet,
  context: DistributionContext,
): Transition {
  const { version } = set;
  return chainSteps(state, [
    (current) => noteVersionOffered(current, { version, source }),
    (current) =>
      isNewerVersion(current.versions.inForce?.set.version, version)
        ? ignoreOlder(current, set)
        : acceptSet(current, { set, source, fromPlatform: true }, context),
  ]);
}

/** The platform may be stale, and operators may have published an old document: neither leads back. */
function ignoreOlder(
  state: DistributionState,
  { version }: ConfigurationSet,
): Transition {
  const { platform, versions } = state;
  if (isSameVersion(platform.ignoredOlder, version)) {
    return stay(state);
  }
  return {
    state: { ...state, platform: { ...platform, ignoredOlder: version } },
    effects: [createAuditEffect({
      kind: AuditEntryKind.ConfigurationOlderIgnored,
      fromVersion: versions.inForce?.set.version,
      toVersion: version,
      source,
      reasons: [],
    })],
  };
}
