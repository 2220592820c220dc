import test from "ava";
import type { FleetRun } from "../fleet/fleet_run.ts";
import { computeFleetRows } from "./compute_fleet_rows.ts";

function createRun(nodes: number): FleetRun {
  const usage = {
    windowMilliseconds: 1000,
    bytesSentPerSecond: 500 + nodes,
    bytesReceivedPerSecond: 500 + nodes,
    messagesSentPerSecond: 2,
    messagesReceivedPerSecond: 2,
    highestBytesPerSecond: 2000,
    processorShare: 0.01,
    highestProcessorShare: 0.02,
    residentBytes: 100_000_000,
    highestResidentBytes: 110_000_000,
    platformReadsPerSecond: 3,
  };
  return {
    label: `${nodes} nodes`,
    nodes,
    repeat: 0,
    isBaseline: false,
    atRest: usage,
    underLoad: usage,
    convergence: [10, 20],
    documentBytes: 3000,
    bytesPerChange: 8640,
    storm: {
      restartedNodes: 9,
      bytesPerNode: 1,
      messagesPerNode: 1,
      highestBytes: 1,
      platformReads: 1,
      peakReadsPerSecond: 20,
      recoveryMilliseconds: 1,
    },
  };
}

test("computeFleetRows() extrapolates the line to 1,200 nodes", (t) => {
  const rows = computeFleetRows([createRun(12), createRun(96)]);
  const findFigure = (text: string) =>
    rows.find(({ quantity }) => quantity.startsWith(text))?.figure;
  t.is(findFigure("control bytes of a node at rest"), "3400 bytes a second");
  t.is(findFigure("upper bound of the control bytes"), "110 bytes a second");
  t.is(findFigure("resident memory"), "100 MB");
});

test("computeFleetRows() marks every quantity as not measured if only one size was run", (t) => {
  t.true(
    computeFleetRows([createRun(12)]).every(({ figure }) =>
      figure === "not measured"
    ),
  );
});
