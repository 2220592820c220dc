import type { AddressHolder } from "./address_holder.ts";

/**
 * Records that the holder of the address rejected a request as meant for another
 * incarnation, without naming itself.
 */
export function recordRejectedIdentifier(
  holder: AddressHolder,
  identifier: string,
): void {
  const { latest } = holder;
  // The request may have been sent before the present holder was seen.
  if (latest !== undefined && latest.identifier !== identifier) return;
  holder.latest = undefined;
  holder.rejectedIdentifier = identifier;
}
