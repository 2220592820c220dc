import { fleetMeasure } from "./fleet/fleet_measure.ts";
import { measures } from "./measures.ts";

/** The measures of a quick run without `--only`: all except the fleets, which take too long to start. */
export const quickMeasures = measures.filter((measure) =>
  measure !== fleetMeasure
);
