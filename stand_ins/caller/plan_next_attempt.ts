import type { RandomSource } from "../../src/runtime/random_source.ts";
import { CallEnding } from "./call_ending.ts";
import type { CallerSettings } from "./caller_settings.ts";
import type { PlannedCall } from "./planned_call.ts";

/**
 * Returns the caller's next attempt, through another node; undefined if there
 * is none. A call that could open no connection is always sent again. A call
 * with an idempotency key is repeated with probability `repeatShare`, whatever
 * its ending was.
 */
export function planNextAttempt(
  call: PlannedCall,
  options: {
    readonly ending: CallEnding;
    readonly settings: CallerSettings;
    readonly random: RandomSource;
  },
): PlannedCall | undefined {
  const { ending, settings, random } = options;
  const isUnreachable = ending === CallEnding.Unreachable;
  const isRepeated = call.key !== undefined &&
    random.next() < settings.repeatShare;
  if (
    call.attemptNumber >= settings.attemptsMaximum ||
    !(isUnreachable || isRepeated)
  ) {
    return undefined;
  }
  const otherNodeCount = Math.max(1, settings.nodes.length - 1);
  const nodeOffset = 1 + Math.floor(random.next() * otherNodeCount);
  return {
    ...call,
    attemptNumber: call.attemptNumber + 1,
    node: (call.node + nodeOffset) % settings.nodes.length,
    abandonAfterMilliseconds: undefined,
  };
}
