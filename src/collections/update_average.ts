/**
 * Updates the exponential moving average of `key` with the observation
 * `newest`. `weight`, from 0 to 1, is the weight of that observation. The first
 * observation becomes the average.
 */
export function updateAverage<Key>(
  averages: Map<Key, number>,
  key: Key,
  { newest, weight }: {
    readonly newest: number;
    readonly weight: number;
  },
): void {
  const previous = averages.get(key) ?? newest;
  averages.set(key, previous + (newest - previous) * weight);
}
