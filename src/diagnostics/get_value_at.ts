/** Returns the value at a path in parsed JSON, or undefined if the path does not exist. */
export function getValueAt(
  value: unknown,
  path: readonly PropertyKey[],
): unknown {
  return path.reduce<unknown>(
    (parent, key) =>
      typeof parent === "object" && parent !== null
        ? (parent as Record<PropertyKey, unknown>)[key]
        : undefined,
    value,
  );
}
