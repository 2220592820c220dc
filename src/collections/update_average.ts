/**
 * Updates the exponential moving average of `key` with the observation `newest`.
 * The first observation becomes the average. `share`, from 0 to 1, is the weight
 * of the newest observation.
 */
export function updateAverage<Key>(
  averages: Map<Key, number>,
  key: Key,
  { newest, share }: { readonly newest: number; readonly share: number },
): void {
  const previous = averages.get(key) ?? newest;
  averages.set(key, previous + (newest - previous) * share);
}
