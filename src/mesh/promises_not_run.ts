/** Statuses that promise a caller that its request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a status tells the caller that its request has not run and never will. */
export function promisesNotRun(status: number): boolean {
  return notRunStatuses.has(status);
}
