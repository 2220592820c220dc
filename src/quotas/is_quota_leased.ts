import type { GranterState } from "./granter_state.ts";

/** Whether the deputy of this owner may grant in its place. */
export function isQuotaLeased({ lessee }: GranterState, now: number): boolean {
  return lessee !== undefined && now < lessee.until;
}
