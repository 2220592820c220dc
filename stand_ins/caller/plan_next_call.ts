import type { RandomSource } from "../../src/runtime/random_source.ts";
import { CallEnding } from "./call_ending.ts";
import type { CallerSettings } from "./caller_settings.ts";
import type { PlannedCall } from "./planned_call.ts";

/**
 * Returns the caller's next attempt, through another node; undefined where it
 * makes none. A call that found no listener goes elsewhere at once; a keyed
 * call is repeated, whatever came of it, by the share that the settings give.
 */
export function planNextCall(
  call: PlannedCall,
  options: {
    readonly ending: CallEnding;
    readonly settings: CallerSettings;
    readonly random: RandomSource;
  },
): PlannedCall | undefined {
  const { ending, settings, random } = options;
  const unreachable = ending === CallEnding.Unreachable;
  const repeats = call.key !== undefined &&
    random.next() < settings.repeatShare;
  if (
    call.attempt >= settings.attemptsMaximum || !(unreachable || repeats)
  ) {
    return undefined;
  }
  const others = Math.max(1, settings.nodes.length - 1);
  const step = 1 + Math.floor(random.next() * others);
  return {
    ...call,
    attempt: call.attempt + 1,
    node: (call.node + step) % settings.nodes.length,
    patienceMilliseconds: undefined,
  };
}
