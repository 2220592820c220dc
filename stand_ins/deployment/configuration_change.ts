/** The fields in which the versions that a deployment publishes differ. */
export interface ConfigurationChange {
  readonly number: number;
  readonly zonesTakenOut?: readonly string[];
  readonly backendServersLeaving?: readonly string[];
  readonly retryBudgetPercent?: number;
  /** Name of a service that is not registered; a route to it makes the version invalid. */
  readonly unknownService?: string;
}
