/** The priority of a call. Under load, calls of the lowest priority are refused first. */
export enum CallPriority {
  High = "high",
  Normal = "normal",
  Low = "low",
}
