/** A promise that was broken, as callers and backend servers saw it. */
export interface SoakViolation {
  readonly promise: string;
  readonly found: string;
}
