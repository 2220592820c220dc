import type { FleetRun } from "./fleet_run.ts";

/** A titled figure that is computed from one run of a fleet. */
export interface FleetFigure {
  readonly title: string;
  readonly getValue: (run: FleetRun) => number;
}
