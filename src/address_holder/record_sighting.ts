import type { ClockReading } from "../runtime/clock_reading.ts";
import { getElapsedMilliseconds } from "../runtime/get_elapsed_milliseconds.ts";
import type { AddressHolder } from "./address_holder.ts";
import type { HolderSighting } from "./holder_sighting.ts";

/**
 * Records that a backend server has named itself at the address.
 *
 * It belongs to the node's service if it is known to, or if it has answered
 * sooner after the one before than an address may be given to another service.
 * Otherwise the register has to list it.
 */
export function recordSighting(
  holder: AddressHolder,
  options: {
    readonly sighting: HolderSighting;
    /** When its answer had arrived. */
    readonly answeredAt: ClockReading;
    /** Shortest time between the end of a backend server and the use of its address by another service. */
    readonly reuseMilliseconds: number;
  },
): void {
  const { sighting, answeredAt, reuseMilliseconds } = options;
  const { own } = holder;
  holder.latest = sighting;
  holder.rejectedIdentifier = undefined;
  if (own === undefined) return;
  const isOwn = own.identifier === sighting.identifier ||
    getElapsedMilliseconds(own.seenAt, answeredAt) < reuseMilliseconds;
  if (isOwn) holder.own = sighting;
}
