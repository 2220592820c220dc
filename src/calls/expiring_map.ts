/** A map whose values expire. */
export interface ExpiringMap<Value> {
  get(key: string, now: number): Value | undefined;
  /** Stores the value until `expiresAt`, in milliseconds since the Unix epoch. */
  set(key: string, value: Value, expiresAt: number): void;
  delete(key: string): void;
  /** Removes expired values and, beyond the byte limit, the bodies of the oldest values. */
  sweep(now: number): void;
  readonly size: number;
}
