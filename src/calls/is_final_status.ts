/** Lower status codes are interim, or not defined. */
const finalStatusMinimum = 200;
const finalStatusMaximum = 599;

/**
 * Whether HTTP defines a status code as that of a final answer (RFC 9110, section
 * 15). The parser accepts any three digits.
 */
export function isFinalStatus(status: number): boolean {
  return status >= finalStatusMinimum && status <= finalStatusMaximum;
}
