import { match, P } from "ts-pattern";
import type { StatedLimit } from "./stated_limit.ts";
import { StatedLimitKind } from "./stated_limit_kind.ts";

/**
 * Returns the limit in calls a second that a backend server states; null if it
 * states none, and undefined if that is not known.
 */
export function getStatedCallsPerSecond(
  limit: StatedLimit,
): number | null | undefined {
  return match(limit)
    .with(
      { kind: StatedLimitKind.Limited, callsPerSecond: P.select() },
      (callsPerSecond) => callsPerSecond,
    )
    .with({ kind: StatedLimitKind.None }, () => null)
    .with({ kind: StatedLimitKind.Unknown }, () => undefined)
    .exhaustive();
}
