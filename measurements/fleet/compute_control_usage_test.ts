import test from "ava";
import { computeControlUsage } from "./compute_control_usage.ts";
import type { FleetCounters } from "./fleet_counters.ts";

function createReading(
  at: number,
  figures: readonly { readonly bytes: number; readonly processor: number }[],
): FleetCounters {
  return {
    at,
    platformReads: at / 100,
    nodes: figures.map(({ bytes, processor }) => ({
      usage: { processorMilliseconds: processor, residentBytes: 1000 },
      status: {
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

test("computeControlUsage() returns the mean and the highest value over the nodes", (t) => {
  const usage = computeControlUsage(
    createReading(0, [{ bytes: 10, processor: 0 }, { bytes: 0, processor: 0 }]),
    createReading(2000, [
      { bytes: 210, processor: 1000 },
      { bytes: 600, processor: 500 },
    ]),
  );
  t.is(usage.bytesSentPerSecond, 200);
  t.is(usage.bytesReceivedPerSecond, 400);
  t.is(usage.highestBytesPerSecond, 900);
  t.is(usage.processorShare, 0.375);
  t.is(usage.highestProcessorShare, 0.5);
  t.is(usage.platformReadsPerSecond, 10);
});
