/** Path of the plain node's program, relative to the root of the build. */
export const plainNodeProgram = "measurements/plain_node/main.js";
