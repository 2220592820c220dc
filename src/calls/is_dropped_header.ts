/** Headers of one hop (RFC 9110, section 7.6.1) and of framing, in lower case. */
const hopHeaders: ReadonlySet<string> = new Set([
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

/** Tells whether a header (name in lower case) stays on its hop or belongs to the mesh. */
export function isDroppedHeader(name: string): boolean {
  return hopHeaders.has(name) || name.startsWith(meshPrefix);
}
