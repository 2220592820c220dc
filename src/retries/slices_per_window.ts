/** Number of slices into which the window of a retry budget is divided. */
export const slicesPerWindow = 10;
