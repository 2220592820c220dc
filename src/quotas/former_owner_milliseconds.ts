/**
 * Time in which a node that has ceased to be the owner grants on until the new
 * one asks it to stop, and other nodes still ask it: a new owner may learn of
 * the change later than they do.
 */
export const formerOwnerMilliseconds = 1_000;
