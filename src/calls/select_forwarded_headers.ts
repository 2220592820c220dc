import { isDroppedHeader } from "./is_dropped_header.ts";

/** Common values of `Connection` that name no header. */
const plainConnectionPattern = /^(?:keep-alive|close)$/i;

/**
 * Returns the headers to forward, as alternating names and values. Hop-by-hop
 * headers, headers of the mesh and headers named by `Connection` are dropped.
 */
export function selectForwardedHeaders(
  rawHeaders: readonly string[],
): readonly string[] {
  const named = getConnectionOptions(rawHeaders);
  // Each value follows its name, so the decision for the name applies to both.
  let isForwarded = false;
  return rawHeaders.filter((text, index) => {
    if (index % 2 === 0) {
      const name = text.toLowerCase();
      isForwarded = !isDroppedHeader(name) &&
        (named === undefined || !named.includes(name));
    }
    return isForwarded;
  });
}

/** Returns undefined in the common case that no header is named. */
function getConnectionOptions(
  rawHeaders: readonly string[],
): readonly string[] | undefined {
  const namesHeaders = (value: string, index: number) =>
    index % 2 === 1 && isConnection(rawHeaders[index - 1]!) &&
    !plainConnectionPattern.test(value);
  if (!rawHeaders.some(namesHeaders)) return undefined;
  return rawHeaders
    .filter(namesHeaders)
    .flatMap((value) => value.toLowerCase().split(","))
    .map((option) => option.trim());
}

function isConnection(name: string): boolean {
  return name.length === "connection".length &&
    name.toLowerCase() === "connection";
}
