/**
 * How many times a node passes a change on. Each copy goes to a random peer, so
 * a few sends per node reach nearly all nodes; the comparison of hashes
 * delivers the change to the rest.
 */
export const sendsPerChange = 3;
