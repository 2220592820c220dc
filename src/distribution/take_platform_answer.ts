import type { PlatformValue } from "../platform/platform_value.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { chainSteps } from "./chain_steps.ts";
import { createAuditEffect } from "./create_audit_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { notePlatformConfirmation } from "./note_platform_confirmation.ts";
import { notePlatformHeard } from "./note_platform_heard.ts";
import { stay } from "./stay.ts";
import { takePlatformValue } from "./take_platform_value.ts";
import type { Transition } from "./transition.ts";

const nothingPublishedRetryMilliseconds = 1000;

/** Takes the answer to a read or watch; `value` is undefined where there is nothing new. */
export function takePlatformAnswer(
  state: DistributionState,
  answer: {
    readonly value: PlatformValue | undefined;
    readonly forConfirmation: boolean;
  },
  context: DistributionContext,
): Transition {
  const { platform } = state;
  const { value, forConfirmation } = answer;
  const regained = platform.reachable === false
    ? [createAuditEffect({
      kind: AuditEntryKind.PlatformRegained,
      source: "platform",
      reasons: [],
    })]
    : [];
  const isNew = value !== undefined && value.revision !== platform.revision;
  const answered: DistributionState = {
    ...state,
    platform: {
      ...platform,
      reachable: true,
      revision: value?.revision ?? platform.revision,
      ...forConfirmation ? {} : {
        isReading: false,
        failures: 0,
        notBefore: context.now + distributionLimits.isolatedReadMilliseconds,
        nextReadAt: getNextReadAt(state, value, context),
      },
    },
  };
  return chainSteps(answered, [
    (current) => ({ state: current, effects: regained }),
    (current) => stay(notePlatformHeard(current, { at: context.now, context })),
    (current) =>
      isNew ? takePlatformValue(current, value, context) : stay(current),
    (current) =>
      stay(
        forConfirmation
          ? notePlatformConfirmation(current, { isAnswered: true }, context)
          : current,
      ),
  ]);
}

/** A reader watches on at once; it waits only where there is nothing to watch yet. */
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
