/** The operators' bound on how long a withdrawn key may be accepted, by any node. */
export const withdrawalMilliseconds = 5_000;
