import test from "ava";
import { computeControlUse } from "./compute_control_use.ts";
import type { FleetReading } from "./fleet_reading.ts";

function createReading(
  at: number,
  figures: readonly { readonly bytes: number; readonly processor: number }[],
): FleetReading {
  return {
    at,
    platformReads: at / 100,
    nodes: figures.map(({ bytes, processor }) => ({
      use: { processorMilliseconds: processor, residentBytes: 1000 },
      report: {
        version: null,
        distribution: {
          appliedAt: undefined,
          platformReads: 0,
          controlBytesSent: bytes,
          controlBytesReceived: bytes * 2,
          controlMessagesSent: 0,
          controlMessagesReceived: 0,
        },
      },
    })),
  };
}

test("computeControlUse() gives the average node and the highest one", (t) => {
  const use = computeControlUse(
    createReading(0, [{ bytes: 10, processor: 0 }, { bytes: 0, processor: 0 }]),
    createReading(2000, [
      { bytes: 210, processor: 1000 },
      { bytes: 600, processor: 500 },
    ]),
  );
  t.is(use.bytesSentPerSecond, 200);
  t.is(use.bytesReceivedPerSecond, 400);
  t.is(use.highestBytesPerSecond, 900);
  t.is(use.processorShare, 0.375);
  t.is(use.highestProcessorShare, 0.5);
  t.is(use.platformReadsPerSecond, 10);
});
