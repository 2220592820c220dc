/** The availability that a backend server publishes. */
export enum BackendServerAvailability {
  Ready = "ready",
  /** The backend server finishes its running calls and then stops. */
  Draining = "draining",
}
