/**
 * Returns by how many calls the worst window exceeds what `getCallsMaximum`
 * allows for a window that begins at an instant; negative if none does.
 */
export function getWorstWindowExcess(
  runs: readonly number[],
  options: {
    readonly windowMilliseconds: number;
    readonly getCallsMaximum: (startsAt: number) => number;
  },
): number {
  const { windowMilliseconds, getCallsMaximum } = options;
  const sorted = runs.toSorted((left, right) => left - right);
  let end = 0;
  return sorted.reduce((worst, startsAt, index) => {
    // A loop, since the end of the window only moves forward.
    while ((sorted[end] ?? Infinity) <= startsAt + windowMilliseconds) end += 1;
    return Math.max(worst, end - index - getCallsMaximum(startsAt));
  }, Number.NEGATIVE_INFINITY);
}
