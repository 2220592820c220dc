import type { FleetRun } from "./fleet_run.ts";

/** Each request between nodes is an own request of one node and a foreign one of another. */
const rolesOfNode = 2;
const rolesOfBaseline = 1;

/** Returns the control bytes a second of the mean node, for its own requests and those of others. */
export function getControlBytes(run: FleetRun): number {
  const own = run.atRest.bytesSentPerSecond + run.atRest.bytesReceivedPerSecond;
  return own * (run.isBaseline ? rolesOfBaseline : rolesOfNode);
}
