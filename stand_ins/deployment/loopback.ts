/** The only host that a deployment for show uses. */
export const loopback = "127.0.0.1";
