import type { ClockReading } from "../runtime/clock_reading.ts";
import type { AddressHolder } from "./address_holder.ts";

/**
 * Records that the incarnation that a call named has answered it. `seenAt` is when
 * the call was sent. An answer may be late: another one may be at the address by
 * now.
 */
export function recordOwnAnswer(
  holder: AddressHolder,
  options: { readonly identifier: string; readonly seenAt: ClockReading },
): void {
  const { own, latest, rejectedIdentifier } = holder;
  const { identifier, seenAt } = options;
  const isFirst = latest === undefined && rejectedIdentifier !== identifier;
  if (own?.identifier !== identifier && !isFirst) return;
  if (own !== undefined && seenAt.monotonic <= own.seenAt.monotonic) return;
  holder.own = { identifier, seenAt };
  if (isFirst || latest?.identifier === identifier) holder.latest = holder.own;
}
