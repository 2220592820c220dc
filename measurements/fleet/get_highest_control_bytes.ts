import type { FleetRun } from "./fleet_run.ts";

/** Returns the control bytes a second of the node with the most own requests, with the mean of those of others. */
export function getHighestControlBytes(run: FleetRun): number {
  const { bytesSentPerSecond, bytesReceivedPerSecond, highestBytesPerSecond } =
    run.atRest;
  const ofOthers = run.isBaseline
    ? 0
    : bytesSentPerSecond + bytesReceivedPerSecond;
  return highestBytesPerSecond + ofOthers;
}
