import { isDroppedHeader } from "./is_dropped_header.ts";

/**
 * Returns the headers that travel on, as names and values in turn. Headers
 * that `Connection` names are dropped too.
 */
export function selectPassedHeaders(
  rawHeaders: readonly string[],
): readonly string[] {
  const named = getConnectionOptions(rawHeaders);
  return rawHeaders.filter((_, index) => {
    const name = rawHeaders[index - index % 2]!.toLowerCase();
    return !isDroppedHeader(name) && !named.includes(name);
  });
}

function getConnectionOptions(rawHeaders: readonly string[]): string[] {
  return rawHeaders
    .filter((_, index) =>
      index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === "connection"
    )
    .flatMap((value) => value.toLowerCase().split(","))
    .map((option) => option.trim());
}
