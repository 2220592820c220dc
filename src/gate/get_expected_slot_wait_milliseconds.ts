import type { GateState } from "./gate_state.ts";

/**
 * Estimates how long a call with `ahead` queued calls before it waits until a
 * slot is free. Unlike the wait for a rate limit, it varies with the service
 * times of the calls.
 */
export function getExpectedSlotWaitMilliseconds(
  state: GateState,
  { ahead }: { readonly ahead: number },
): number {
  const excess = state.running.size + ahead + 1 - state.slots;
  return Math.max(0, excess) * state.serviceMilliseconds /
    Math.max(1, state.slots);
}
