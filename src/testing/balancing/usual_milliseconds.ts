/** Mean time of a call at a backend server of speed 1, in milliseconds. */
export const usualMilliseconds = 40;
