import type { ClassResult } from "./class_result.ts";
import type { RunContext } from "./run_context.ts";

const emptyResult: ClassResult = {
  sent: 0,
  whole: 0,
  failed: 0,
  wholeMilliseconds: 0,
};

/** Creates counters by caller class; calls that arrive before the instant `countFrom` are ignored. */
export function createClassResults(
  countFrom: number,
): {
  readonly count: RunContext["count"];
  readonly getResults: () => Readonly<Record<string, ClassResult>>;
} {
  const results = new Map<string, ClassResult>();
  return {
    count(className, arrivedAt, change) {
      if (arrivedAt < countFrom) return;
      const result = results.get(className) ?? emptyResult;
      results.set(className, {
        sent: result.sent + (change.sent ?? 0),
        whole: result.whole + (change.whole ?? 0),
        failed: result.failed + (change.failed ?? 0),
        wholeMilliseconds: result.wholeMilliseconds +
          (change.wholeMilliseconds ?? 0),
      });
    },
    getResults: () => Object.fromEntries(results),
  };
}
