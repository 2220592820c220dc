/** The priority of a call; under load the lowest is refused first. */
export enum CallPriority {
  High = "high",
  Normal = "normal",
  Low = "low",
}
