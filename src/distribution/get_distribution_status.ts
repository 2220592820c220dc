import type { ControlTraffic } from "../peers/control_traffic.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { DistributionStatus } from "./distribution_status.ts";

/**
 * Returns the status of the distribution on this node, as shown to operators.
 */
export function getDistributionStatus(
  { versions, platform }: DistributionState,
  counts: {
    readonly platformReads: number;
    readonly traffic: ControlTraffic | undefined;
  },
): DistributionStatus {
  const { refusal } = versions;
  return {
    version: versions.inForce?.set.version,
    appliedAt: versions.appliedAt,
    isReader: platform.isReader,
    refused: refusal &&
      { version: refusal.version, reasons: refusal.reasons },
    conflict: versions.conflict,
    platformReachable: platform.reachable,
    platformReads: counts.platformReads,
    controlBytesSent: counts.traffic?.bytesSent ?? 0,
    controlBytesReceived: counts.traffic?.bytesReceived ?? 0,
    controlMessagesSent: counts.traffic?.messagesSent ?? 0,
    controlMessagesReceived: counts.traffic?.messagesReceived ?? 0,
  };
}
