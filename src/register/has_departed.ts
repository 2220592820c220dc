import type { Departures } from "./departures.ts";
import type { RegisterEntry } from "./register_entry.ts";

/**
 * Whether this incarnation stated that it is about to leave. A later one that
 * started under the same identifier did not.
 */
export function hasDeparted(
  departures: Departures,
  entry: RegisterEntry,
): boolean {
  return entry.bornAt <= (departures.get(entry.identifier) ?? -1);
}
