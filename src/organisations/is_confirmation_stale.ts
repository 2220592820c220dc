/** Share of the bound for which rules are used; the rest allows for clocks of different speed. */
const usableShare = 0.9;

/**
 * Returns whether rules of this age may still contain a key that had to stop by
 * now. Without a bound on withdrawn keys, no age is too high.
 */
export function isConfirmationStale(
  ageMilliseconds: number,
  { withdrawalMilliseconds }: {
    readonly withdrawalMilliseconds?: number | undefined;
  },
): boolean {
  return withdrawalMilliseconds !== undefined &&
    ageMilliseconds >= withdrawalMilliseconds * usableShare;
}
