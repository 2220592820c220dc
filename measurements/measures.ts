import { compileMeasure } from "./compile/compile_measure.ts";
import type { Measure } from "./measure.ts";

/** Every measure, in the order in which they run. */
export const measures: readonly Measure[] = [compileMeasure];
