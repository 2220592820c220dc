/**
 * Sets a value and moves its key to the end. Deletes the first key if the map
 * then has more than `sizeMaximum`.
 */
export function setBounded<Value>(
  map: Map<string, Value>,
  options: {
    readonly key: string;
    readonly value: Value;
    readonly sizeMaximum: number;
  },
): void {
  const { key, value, sizeMaximum } = options;
  map.delete(key);
  map.set(key, value);
  const [first] = map.keys();
  if (map.size > sizeMaximum && first !== undefined) map.delete(first);
}
