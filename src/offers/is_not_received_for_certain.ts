import type { OfferCheck } from "./offer_check.ts";
import { OfferCheckKind } from "./offer_check_kind.ts";
import { OfferStatus } from "./offer_status.ts";
import { recentOfferMilliseconds } from "./recent_offer_milliseconds.ts";

/**
 * Covers rounding, and clocks of two VMs that differ in speed by up to 2 in 100
 * for the time in which a statement counts.
 */
const clockToleranceMilliseconds = 100;

/**
 * Whether an offer has certainly not arrived and never will run, so that its
 * call may be refused as not run. The other process must have recorded offers
 * since before this one was made; an earlier one could have run it. It must not
 * have forgotten an offer that ended, and its fence must outlast the offer's last
 * retransmission, so the statement counts for half of the time for which these
 * are kept.
 */
export function isNotReceivedForCertain(
  check: OfferCheck,
  options: {
    /** When the offer was made, in milliseconds since the Unix epoch. */
    readonly offeredAt: number;
    /** When the reply arrived, in milliseconds since the Unix epoch. */
    readonly now: number;
  },
): boolean {
  if (check.kind !== OfferCheckKind.Status) return false;
  const { status, recordedMilliseconds = 0 } = check;
  const elapsedMilliseconds = options.now - options.offeredAt;
  return status === OfferStatus.NotReceived &&
    elapsedMilliseconds < recentOfferMilliseconds / 2 &&
    recordedMilliseconds > elapsedMilliseconds + clockToleranceMilliseconds;
}
