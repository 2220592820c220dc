/** Returns an instant (milliseconds since the Unix epoch) in ISO 8601 with milliseconds, in UTC. */
export function formatInstant(instant: number): string {
  return new Date(instant).toISOString();
}
