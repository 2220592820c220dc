import { cpus, loadavg } from "node:os";
import type { Measure } from "./measure.ts";
import type { MeasureOptions } from "./measure_options.ts";
import type { MeasureReport } from "./measure_report.ts";

/** Runs one measure and records the conditions of the run. */
export async function runMeasure(
  measure: Measure,
  options: {
    readonly measureOptions: MeasureOptions;
    readonly reportProgress: (message: string) => void;
  },
): Promise<MeasureReport> {
  const { quick, seed, repeats } = options.measureOptions;
  const loadBefore = loadavg()[0] ?? 0;
  const startedAt = Date.now();
  const result = await measure.run({
    quick,
    seed,
    repeats,
    reportProgress: (message) =>
      options.reportProgress(`${measure.name}: ${message}`),
  });
  return {
    measure,
    result,
    command:
      `npm run measure -- --only ${measure.name} --seed ${seed} --repeats ${repeats}${
        quick ? " --quick" : ""
      }`,
    seed,
    quick,
    loadBefore,
    loadAfter: loadavg()[0] ?? 0,
    processors: cpus().length,
    startedAt,
    endedAt: Date.now(),
  };
}
