/** What the node beside a backend server holds of it. */
export enum BackendServerState {
  Unknown = "unknown",
  Cold = "cold",
  Ready = "ready",
  Draining = "draining",
  Down = "down",
}
