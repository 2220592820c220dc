import type { GranterState } from "./granter_state.ts";

/**
 * Makes this node the established owner from `establishedAt` on, with an empty
 * bucket: the owner before it may have just granted a burst.
 */
export function establishOwner(
  state: GranterState,
  { establishedAt }: { readonly establishedAt: number },
): void {
  state.establishedAt = establishedAt;
  state.lessee = undefined;
  state.bucket.tokens = 0;
  state.bucket.refilledAt = establishedAt;
}
