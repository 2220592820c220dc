import type { HolderState } from "./holder_state.ts";
import type { QuotaHosts } from "./quota_hosts.ts";

/** Returns the host to request tokens of; undefined if none can be asked now. */
export function chooseGranter(
  { ownerRetryAt }: HolderState,
  options: { readonly hosts: QuotaHosts; readonly now: number },
): string | undefined {
  const { hosts, now } = options;
  return now >= ownerRetryAt ? hosts.owner : hosts.deputy;
}
