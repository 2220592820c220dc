/** The operators' bound on how long a withdrawn key may be accepted, by any node; shorter than some faults. */
export const withdrawalMilliseconds = 2_500;
