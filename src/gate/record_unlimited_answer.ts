import type { GateState } from "./gate_state.ts";
import { StatedLimitKind } from "./stated_limit_kind.ts";

/**
 * Records that the backend server has answered a call without stating a limit.
 * Lifts a limit unless it was stated after the call had been sent: answers may
 * be read in another order than they were made.
 */
export function recordUnlimitedAnswer(
  state: GateState,
  options: {
    /** When the call was sent, in milliseconds since the Unix epoch. */
    readonly sentAt: number;
  },
): void {
  const { statedLimit } = state;
  const isOutdated = statedLimit.kind === StatedLimitKind.Limited &&
    options.sentAt <= statedLimit.statedAt;
  if (!isOutdated) state.statedLimit = { kind: StatedLimitKind.None };
}
