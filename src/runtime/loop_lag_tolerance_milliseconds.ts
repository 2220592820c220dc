/** Tolerated lag of the event loop; above timer jitter, and well below the time within which the disconnection of a caller must be detected, since a call passes two nodes. */
export const loopLagToleranceMilliseconds = 60;
