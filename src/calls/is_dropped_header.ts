/** Hop-by-hop headers (RFC 9110, section 7.6.1) and framing headers, in lower case. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

const meshPrefix = "catkinquay-";

/**
 * Returns whether a header (name in lower case) is hop-by-hop or belongs to the
 * mesh, and so is not forwarded.
 */
export function isDroppedHeader(name: string): boolean {
  return hopByHopHeaders.has(name) || name.startsWith(meshPrefix);
}
