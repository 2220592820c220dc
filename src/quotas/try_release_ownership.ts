import type { GranterState } from "./granter_state.ts";
import { establishOwner } from "./establish_owner.ts";

/**
 * Gives the quota up to a node whose view names it as the new owner. Returns
 * whether that node may be established at once: only if this node had been,
 * since otherwise a third one may still grant. If the view of this node still
 * names itself, it is established again after the handover.
 */
export function tryReleaseOwnership(
  state: GranterState,
  options: { readonly handoverMilliseconds: number; readonly now: number },
): boolean {
  const { handoverMilliseconds, now } = options;
  const isEstablished = now >= state.establishedAt;
  const isReleased = isEstablished || now < state.releasableUntil;
  // One node only is told that it may be established.
  state.releasableUntil = Number.NEGATIVE_INFINITY;
  if (isEstablished) {
    establishOwner(state, { establishedAt: now + handoverMilliseconds });
  }
  return isReleased;
}
