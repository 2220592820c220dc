import type { FleetRun } from "./fleet_run.ts";

/** Returns the control bytes a second of the mean node at rest, sent and received. */
export function getControlBytes({ atRest }: FleetRun): number {
  return atRest.bytesSentPerSecond + atRest.bytesReceivedPerSecond;
}
