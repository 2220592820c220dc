import type { PlatformValue } from "../platform/platform_value.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { chainSteps } from "./chain_steps.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { recordPlatformConfirmation } from "./record_platform_confirmation.ts";
import { recordPlatformContact } from "./record_platform_contact.ts";
import { createTransition } from "./create_transition.ts";
import { handlePlatformValue } from "./handle_platform_value.ts";
import type { Transition } from "./transition.ts";

const nothingPublishedRetryMilliseconds = 1000;

/**
 * Handles the response to a platform read or watch; `value` is undefined if
 * there is nothing new.
 */
export function handlePlatformResponse(
  state: DistributionState,
  response: {
    readonly value: PlatformValue | undefined;
    readonly forConfirmation: boolean;
  },
  context: DistributionContext,
): Transition {
  const { platform } = state;
  const { value, forConfirmation } = response;
  const regainedEffects = platform.reachable === false
    ? [createAuditEffect({
      kind: AuditEntryKind.PlatformRegained,
      source: "platform",
      reasons: [],
    })]
    : [];
  const isNew = value !== undefined && value.revision !== platform.revision;
  const updated: DistributionState = {
    ...state,
    platform: {
      ...platform,
      reachable: true,
      revision: value?.revision ?? platform.revision,
      ...forConfirmation ? {} : {
        isReading: false,
        failures: 0,
        earliestReadAt: context.now +
          distributionLimits.isolatedReadIntervalMilliseconds,
        nextReadAt: getNextReadAt(state, value, context),
      },
    },
  };
  return chainSteps(updated, [
    (current) => ({ state: current, effects: regainedEffects }),
    (current) =>
      createTransition(
        recordPlatformContact(current, { at: context.now, context }),
      ),
    (current) =>
      isNew
        ? handlePlatformValue(current, value, context)
        : createTransition(current),
    (current) =>
      createTransition(
        forConfirmation
          ? recordPlatformConfirmation(current, { hasResponded: true }, context)
          : current,
      ),
  ]);
}

/**
 * Returns when the next read or watch starts. A reader continues to watch at
 * once; it waits only if no value is published yet.
 */
function getNextReadAt(
  { platform }: DistributionState,
  value: PlatformValue | undefined,
  { now, random }: DistributionContext,
): number {
  const hasValue = value !== undefined || platform.revision !== undefined;
  return platform.isReader && hasValue
    ? now
    : now + nothingPublishedRetryMilliseconds *
        (1 + random.next()) +
      (platform.isReader ? 0 : distributionLimits.platformSilenceMilliseconds);
}
