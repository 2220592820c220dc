import { fleetMeasure } from "./fleet/fleet_measure.ts";
import { measures } from "./measures.ts";

/** What a quick run takes where no measure is named: all but the fleets, which take too long to start. */
export const quickMeasures = measures.filter((measure) =>
  measure !== fleetMeasure
);
