/**
 * Runs `run` once for each sequence of choices that it can make, in a fixed
 * order. `run` must choose the same way if it gets the same results. Returns the
 * number of runs.
 */
export function exploreChoices(
  run: (choose: (options: number) => number) => void,
): number {
  let path: { readonly chosen: number; readonly options: number }[] = [];
  let runs = 0;
  // A loop, since there are too many runs for recursion.
  while (true) {
    let depth = 0;
    run((options) => {
      const known = path[depth];
      if (known === undefined) path.push({ chosen: 0, options });
      depth += 1;
      return known?.chosen ?? 0;
    });
    runs += 1;
    const last = path.findLastIndex(({ chosen, options }) =>
      chosen + 1 < options
    );
    if (last < 0) return runs;
    const { chosen, options } = path[last]!;
    path = [...path.slice(0, last), { chosen: chosen + 1, options }];
  }
}
