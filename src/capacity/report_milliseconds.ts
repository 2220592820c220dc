/**
 * How long a report of a full gate counts. Slots become free within the service
 * time of a call, which is mostly below a second.
 */
export const reportMilliseconds = 300;
