import type { GateState } from "./gate_state.ts";

/** How long a gate assumes that nested calls go on after the last one. */
const nestedCallsMilliseconds = 1_000;

/**
 * Whether the last free slot is kept for nested calls. If services call each
 * other in a cycle, calls from outside could occupy all slots of both while each
 * waits for a nested call at the other. A gate whose backend server makes and
 * receives nested calls may be part of such a cycle.
 */
export function isKeptForNestedCalls(
  state: GateState,
  { now }: { readonly now: number },
): boolean {
  const since = now - nestedCallsMilliseconds;
  const mayBeInCycle = state.nestedRequestAt > since &&
    state.nestedCallAt > since;
  if (!mayBeInCycle || state.slots < 2) return false;
  if (state.running.size < state.slots - 1) return false;
  return !Array.from(state.running.values()).some(({ isNested }) => isNested);
}
