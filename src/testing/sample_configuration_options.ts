/** Options of `createSampleConfiguration`. */
export interface SampleConfigurationOptions {
  /** Number of the version. */
  readonly number: number;
  readonly zones: number;
  readonly services: number;
  /** Backend servers of each service in each zone; 1 if omitted. */
  readonly serversPerZone?: number;
  readonly zonesTakenOut?: readonly string[];
  readonly backendServersLeaving?: readonly string[];
  /** 10 if omitted. */
  readonly retryBudgetPercent?: number;
}
