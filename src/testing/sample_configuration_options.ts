/** Options of `createSampleConfiguration`. */
export interface SampleConfigurationOptions {
  /** Number of the version. */
  readonly number: number;
  readonly zones: number;
  readonly services: number;
  /** Backend servers of each service in each zone; 1 where absent. */
  readonly serversPerZone?: number;
  readonly zonesTakenOut?: readonly string[];
  readonly backendServersLeaving?: readonly string[];
  /** 10 where absent. */
  readonly retryBudgetPercent?: number;
}
