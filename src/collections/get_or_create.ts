/** Returns the value of `key`. If there is none, creates and stores it first. */
export function getOrCreate<Key, Value>(
  values: Map<Key, Value>,
  key: Key,
  { create }: { readonly create: () => Value },
): Value {
  const existing = values.get(key);
  if (existing !== undefined) return existing;
  const created = create();
  values.set(key, created);
  return created;
}
