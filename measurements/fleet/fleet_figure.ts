import type { FleetRun } from "./fleet_run.ts";

/** A figure that is read from the run of a fleet. */
export interface FleetFigure {
  readonly title: string;
  readonly getValue: (run: FleetRun) => number;
}
