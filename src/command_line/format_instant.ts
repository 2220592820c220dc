/**
 * Formats an instant, in milliseconds since the Unix epoch, as ISO 8601 in UTC
 * with milliseconds.
 */
export function formatInstant(instant: number): string {
  return new Date(instant).toISOString();
}
