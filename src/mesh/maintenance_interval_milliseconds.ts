/**
 * Interval at which probes and ages are checked. Each check wakes the process.
 */
export const maintenanceIntervalMilliseconds = 100;
