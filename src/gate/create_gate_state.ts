import type { GateState } from "./gate_state.ts";
import { ServerCondition } from "./server_condition.ts";
import { StatedLimitKind } from "./stated_limit_kind.ts";

/** Service time assumed before the first answer; the order of magnitude of a typical call. */
const initialServiceMilliseconds = 100;

/** Creates the gate of a backend server whose slots and condition are not known yet. */
export function createGateState(
  now: number,
  suspects: GateState["suspects"] = new Map(),
): GateState {
  return {
    suspects,
    slots: 1,
    condition: ServerCondition.Unknown,
    closedReason: undefined,
    coldUntil: 0,
    coldBucket: {
      tokensPerSecond: 1,
      burstTokens: 1,
      tokens: 1,
      refilledAt: now,
    },
    statedLimit: { kind: StatedLimitKind.Unknown },
    departure: undefined,
    bornAt: 0,
    running: new Map(),
    queue: [],
    queuedSince: Number.POSITIVE_INFINITY,
    nestedRequestAt: 0,
    nestedCallAt: 0,
    serviceMilliseconds: initialServiceMilliseconds,
    serviceMillisecondsByRoute: new Map(),
  };
}
