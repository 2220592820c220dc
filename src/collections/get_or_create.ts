/** Returns the value of a key, creating and storing it at first use. */
export function getOrCreate<Key, Value>(
  values: Map<Key, Value>,
  key: Key,
  { create }: { readonly create: () => Value },
): Value {
  const known = values.get(key);
  if (known !== undefined) return known;
  const created = create();
  values.set(key, created);
  return created;
}
