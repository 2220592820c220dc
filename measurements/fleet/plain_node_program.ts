/** The program of the baseline, below the root of the build. */
export const plainNodeProgram = "measurements/plain_node/main.js";
