/** Values that are kept until an instant each. */
export interface KeptMap<Value> {
  get(key: string, now: number): Value | undefined;
  /** Keeps the value until `keptUntil`, in milliseconds since the Unix epoch. */
  set(key: string, value: Value, keptUntil: number): void;
  delete(key: string): void;
  /** Drops what is past its time and, beyond the byte bound, the bodies of the oldest values. */
  sweep(now: number): void;
  readonly size: number;
}
