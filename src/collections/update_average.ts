/** Moves the average of a key towards a new observation by its share; the first observation is the average. */
export function updateAverage<Key>(
  averages: Map<Key, number>,
  key: Key,
  { newest, share }: { readonly newest: number; readonly share: number },
): void {
  const known = averages.get(key) ?? newest;
  averages.set(key, known + (newest - known) * share);
}
