/** What the node last saw of its backend server. */
export enum ServerCondition {
  /** Nothing was seen since the start, or since the last doubt. */
  Unknown = "unknown",
  Up = "up",
  /** It accepts no connections. */
  Down = "down",
}
