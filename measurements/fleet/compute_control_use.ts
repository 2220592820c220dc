import type { ControlUse } from "./control_use.ts";
import type { FleetReading } from "./fleet_reading.ts";
import type { NodeReport } from "./node_report.ts";

const millisecondsPerSecond = 1000;

/** Returns what a fleet used between two readings. */
export function computeControlUse(
  before: FleetReading,
  after: FleetReading,
): ControlUse {
  const windowMilliseconds = after.at - before.at;
  const seconds = windowMilliseconds / millisecondsPerSecond;
  const perSecond = (read: (report: NodeReport) => number) =>
    after.nodes.map((node, index) =>
      (read(node.report) - read(before.nodes[index]?.report ?? node.report)) /
      seconds
    );
  const sent = perSecond((report) => report.distribution.controlBytesSent);
  const received = perSecond((report) =>
    report.distribution.controlBytesReceived
  );
  const shares = after.nodes.map((node, index) =>
    (node.use.processorMilliseconds -
      (before.nodes[index]?.use.processorMilliseconds ?? 0)) /
    windowMilliseconds
  );
  const resident = after.nodes.map((node) => node.use.residentBytes);
  return {
    windowMilliseconds,
    bytesSentPerSecond: getMean(sent),
    bytesReceivedPerSecond: getMean(received),
    messagesSentPerSecond: getMean(
      perSecond((report) => report.distribution.controlMessagesSent),
    ),
    messagesReceivedPerSecond: getMean(
      perSecond((report) => report.distribution.controlMessagesReceived),
    ),
    highestBytesPerSecond: Math.max(
      ...sent.map((bytes, index) => bytes + (received[index] ?? 0)),
    ),
    processorShare: getMean(shares),
    highestProcessorShare: Math.max(...shares),
    residentBytes: getMean(resident),
    highestResidentBytes: Math.max(...resident),
    platformReadsPerSecond: (after.platformReads - before.platformReads) /
      seconds,
  };
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
