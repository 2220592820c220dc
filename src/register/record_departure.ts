import { setBounded } from "../collections/set_bounded.ts";
import type { Departures } from "./departures.ts";
import type { RegisterEntry } from "./register_entry.ts";
import type { ServerDeparture } from "./server_departure.ts";

/** Far more than leave at a time; bounds the memory over the life of a node. */
const departuresMaximum = 2_000;

/**
 * Records that a backend server stated that it is about to leave, as the reply to
 * an offer for `entry` reports it. The reply may be about the incarnation before.
 */
export function recordDeparture(
  departures: Departures,
  options: {
    readonly entry: RegisterEntry;
    readonly departure: ServerDeparture;
  },
): void {
  const { entry, departure } = options;
  if (departure.identifier !== entry.identifier) return;
  setBounded(departures, {
    key: entry.identifier,
    value: departure.bornAt ?? entry.bornAt,
    sizeMaximum: departuresMaximum,
  });
}
