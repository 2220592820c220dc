import type { NodeGauges } from "../telemetry/node_gauges.ts";
import type { NodeStatus } from "./node_status.ts";

/** Returns the gauge values of a node status. */
export function getNodeGauges(
  status: NodeStatus,
  ready: boolean,
): NodeGauges {
  return {
    versionNumber: status.version?.number ?? 0,
    ready,
    peers: status.peers.length,
    limit: status.backendServer?.limit ?? 0,
    running: status.backendServer?.running ?? 0,
    queued: status.backendServer?.queued ?? 0,
    platformReads: status.distribution.platformReads,
    controlBytesSent: status.distribution.controlBytesSent,
    controlBytesReceived: status.distribution.controlBytesReceived,
    controlMessagesSent: status.distribution.controlMessagesSent,
    controlMessagesReceived: status.distribution.controlMessagesReceived,
  };
}
