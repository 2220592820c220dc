/** The host of every process of a demonstration deployment. */
export const loopback = "127.0.0.1";
