/** A broken promise, with the observation of callers and backend servers that shows it. */
export interface SoakViolation {
  readonly promise: string;
  readonly found: string;
}
