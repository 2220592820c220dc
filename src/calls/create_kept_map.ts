import type { KeptMap } from "./kept_map.ts";

interface Kept<Value> {
  readonly value: Value;
  /** In milliseconds since the Unix epoch. */
  readonly keptUntil: number;
  readonly bytes: number;
}

/**
 * Creates a map whose values end at an instant. Beyond `maximumBytes` the
 * oldest values are replaced by what `strip` returns.
 */
export function createKeptMap<Value>(
  options: {
    readonly maximumBytes: number;
    readonly getBytes: (value: Value) => number;
    /** Returns the value without its body. */
    readonly strip: (value: Value) => Value;
  },
): KeptMap<Value> {
  const kept = new Map<string, Kept<Value>>();
  /** Keys of values with a body, in the order of their setting. */
  const withBody = new Set<string>();
  let bytes = 0;

  const remove = (key: string) => {
    bytes -= kept.get(key)?.bytes ?? 0;
    kept.delete(key);
    withBody.delete(key);
  };
  const set = (key: string, value: Value, keptUntil: number) => {
    const size = options.getBytes(value);
    remove(key);
    bytes += size;
    kept.set(key, { value, keptUntil, bytes: size });
    if (size > 0) {
      withBody.add(key);
    }
  };
  const removeExpired = (now: number) => {
    // Both maps stand in the order of setting, so a loop that stops at the
    // first value to keep looks at little more than what it removes.
    for (const [key, entry] of kept) {
      if (now < entry.keptUntil) {
        return;
      }
      remove(key);
    }
  };
  const stripOldest = () => {
    for (const key of withBody) {
      const entry = kept.get(key);
      if (bytes <= options.maximumBytes || entry === undefined) {
        return;
      }
      withBody.delete(key);
      bytes -= entry.bytes;
      kept.set(key, { ...entry, value: options.strip(entry.value), bytes: 0 });
    }
  };

  return {
    get: (key, now) => {
      const entry = kept.get(key);
      return entry !== undefined && now < entry.keptUntil
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
      return kept.size;
    },
  };
}
