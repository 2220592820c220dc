/** What differs between the versions that a deployment publishes. */
export interface ConfigurationChange {
  readonly number: number;
  readonly zonesTakenOut?: readonly string[];
  readonly backendServersLeaving?: readonly string[];
  readonly retryBudgetPercent?: number;
  /** Makes the version a bad one: a route to this service is added. */
  readonly strayService?: string;
}
