/** What the node last observed of its backend server. */
export enum ServerCondition {
  /** Not observed since the node started. */
  Unknown = "unknown",
  Up = "up",
  /** The backend server accepts no connections. */
  Down = "down",
}
