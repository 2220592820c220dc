import { isDroppedHeader } from "./is_dropped_header.ts";

/** Values of `Connection` that name no header, as clients and servers usually send them. */
const plainConnectionPattern = /^(?:keep-alive|close)$/i;

/**
 * Returns the headers that travel on, as names and values in turn. Headers
 * that `Connection` names are dropped too.
 */
export function selectPassedHeaders(
  rawHeaders: readonly string[],
): readonly string[] {
  const named = getConnectionOptions(rawHeaders);
  // Each value follows its name, so the verdict on the name holds for both.
  let passed = false;
  return rawHeaders.filter((text, index) => {
    if (index % 2 === 0) {
      const name = text.toLowerCase();
      passed = !isDroppedHeader(name) && !named.includes(name);
    }
    return passed;
  });
}

function getConnectionOptions(rawHeaders: readonly string[]): string[] {
  return rawHeaders
    .filter((value, index) =>
      index % 2 === 1 && isConnection(rawHeaders[index - 1]!) &&
      !plainConnectionPattern.test(value)
    )
    .flatMap((value) => value.toLowerCase().split(","))
    .map((option) => option.trim());
}

function isConnection(name: string): boolean {
  return name.length === "connection".length &&
    name.toLowerCase() === "connection";
}
