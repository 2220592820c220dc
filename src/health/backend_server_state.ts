/** The state of a backend server, as determined by the node beside it. */
export enum BackendServerState {
  Unknown = "unknown",
  Cold = "cold",
  Ready = "ready",
  Draining = "draining",
  Down = "down",
}
