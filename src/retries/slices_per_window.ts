/** In how many slices a retry window is counted. */
export const slicesPerWindow = 10;
