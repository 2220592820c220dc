/**
 * How many times a node passes a change on. Each copy goes to a peer chosen at
 * random, so that a few sends of each node reach nearly all; the comparison of
 * digests brings the change to the rest.
 */
export const sendsOfChange = 3;
