import type { ServiceCapacity } from "./service_capacity.ts";

const millisecondsPerSecond = 1_000;
/**
 * The longest time for which one promise takes the room of a node. The rate
 * assumes that all nodes offer as many calls; most of a large mesh may offer none.
 */
const intervalMillisecondsMaximum = 1_000;

/**
 * Promises the next room of a service to a call, and returns when that is, in
 * milliseconds since the Unix epoch: `now` if no earlier call waits for it.
 * Promises follow each other at the rate at which the service admits calls, so
 * that callers which return when they are told do not meet.
 *
 * A promise later than `latest` is not made, since the caller does not wait for
 * it; the instant is returned nevertheless.
 */
export function promiseRoom(
  capacity: ServiceCapacity,
  options: {
    readonly admittedCallsPerSecond: number;
    /** The first instant at which there may be room. */
    readonly earliest: number;
    readonly latest: number;
  },
): number {
  const { admittedCallsPerSecond, earliest, latest } = options;
  const instant = Math.max(earliest, capacity.promisedUntil);
  if (instant <= latest && admittedCallsPerSecond > 0) {
    capacity.promisedUntil = instant + Math.min(
      intervalMillisecondsMaximum,
      millisecondsPerSecond / admittedCallsPerSecond,
    );
  }
  return instant;
}
