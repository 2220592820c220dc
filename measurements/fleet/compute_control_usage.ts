import type { ControlUsage } from "./control_usage.ts";
import type { FleetCounters } from "./fleet_counters.ts";
import type { MeasuredNodeStatus } from "./measured_node_status.ts";

const millisecondsPerSecond = 1000;

/** Returns the resources that a fleet used for control between two readings of its counters. */
export function computeControlUsage(
  before: FleetCounters,
  after: FleetCounters,
): ControlUsage {
  const windowMilliseconds = after.at - before.at;
  const seconds = windowMilliseconds / millisecondsPerSecond;
  const getRates = (getValue: (status: MeasuredNodeStatus) => number) =>
    after.nodes.map((node, index) =>
      (getValue(node.status) -
        getValue(before.nodes[index]?.status ?? node.status)) /
      seconds
    );
  const sent = getRates((status) => status.distribution.controlBytesSent);
  const received = getRates((status) =>
    status.distribution.controlBytesReceived
  );
  const processorShares = after.nodes.map((node, index) =>
    (node.usage.processorMilliseconds -
      (before.nodes[index]?.usage.processorMilliseconds ?? 0)) /
    windowMilliseconds
  );
  const resident = after.nodes.map((node) => node.usage.residentBytes);
  return {
    windowMilliseconds,
    bytesSentPerSecond: getMean(sent),
    bytesReceivedPerSecond: getMean(received),
    messagesSentPerSecond: getMean(
      getRates((status) => status.distribution.controlMessagesSent),
    ),
    messagesReceivedPerSecond: getMean(
      getRates((status) => status.distribution.controlMessagesReceived),
    ),
    highestBytesPerSecond: Math.max(
      ...sent.map((bytes, index) => bytes + (received[index] ?? 0)),
    ),
    processorShare: getMean(processorShares),
    highestProcessorShare: Math.max(...processorShares),
    residentBytes: getMean(resident),
    highestResidentBytes: Math.max(...resident),
    platformReadsPerSecond: (after.platformReads - before.platformReads) /
      seconds,
  };
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
