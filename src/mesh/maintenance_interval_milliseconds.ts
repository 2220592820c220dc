/** How often checks and ages are looked at; each look wakes the process. */
export const maintenanceIntervalMilliseconds = 100;
