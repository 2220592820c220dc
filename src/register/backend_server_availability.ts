/** What a backend server says of itself. */
export enum BackendServerAvailability {
  Ready = "ready",
  /** It finishes its work and leaves. */
  Draining = "draining",
}
