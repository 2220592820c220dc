/** How many requests a backend server in cold start may get at once after a pause. */
export const coldBurstCalls = 2;
