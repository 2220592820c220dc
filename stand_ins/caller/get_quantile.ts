/** Returns the quantile (0 to 1) of numbers in ascending order; null if there are none. */
export function getQuantile(
  ascending: readonly number[],
  quantile: number,
): number | null {
  const index = Math.min(
    ascending.length - 1,
    Math.floor(ascending.length * quantile),
  );
  return ascending[index] ?? null;
}
