import type { ExpiringMap } from "./expiring_map.ts";

interface ExpiringEntry<Value> {
  readonly value: Value;
  /** In milliseconds since the Unix epoch. */
  readonly expiresAt: number;
  readonly bytes: number;
}

/**
 * Creates a map whose values expire. When the values exceed `maximumBytes`,
 * `sweep` replaces the oldest ones by the result of `strip`.
 */
export function createExpiringMap<Value>(
  options: {
    readonly maximumBytes: number;
    readonly getBytes: (value: Value) => number;
    /** Returns the value without its body. */
    readonly strip: (value: Value) => Value;
  },
): ExpiringMap<Value> {
  const entries = new Map<string, ExpiringEntry<Value>>();
  /** Keys of the values with a body, in insertion order. */
  const keysWithBody = new Set<string>();
  let bytes = 0;

  const remove = (key: string) => {
    bytes -= entries.get(key)?.bytes ?? 0;
    entries.delete(key);
    keysWithBody.delete(key);
  };
  const set = (key: string, value: Value, expiresAt: number) => {
    const size = options.getBytes(value);
    remove(key);
    bytes += size;
    entries.set(key, { value, expiresAt, bytes: size });
    if (size > 0) {
      keysWithBody.add(key);
    }
  };
  const removeExpired = (now: number) => {
    // Maps iterate in insertion order, so stopping at the first value that has
    // not expired visits little more than what is removed.
    for (const [key, entry] of entries) {
      if (now < entry.expiresAt) {
        return;
      }
      remove(key);
    }
  };
  const stripOldest = () => {
    for (const key of keysWithBody) {
      const entry = entries.get(key);
      if (bytes <= options.maximumBytes || entry === undefined) {
        return;
      }
      keysWithBody.delete(key);
      bytes -= entry.bytes;
      entries.set(key, {
        ...entry,
        value: options.strip(entry.value),
        bytes: 0,
      });
    }
  };

  return {
    get: (key, now) => {
      const entry = entries.get(key);
      return entry !== undefined && now < entry.expiresAt
        ? entry.value
        : undefined;
    },
    set,
    delete: remove,
    sweep: (now) => {
      removeExpired(now);
      stripOldest();
    },
    get size() {
      return entries.size;
    },
  };
}
