import type { AdmissionStatus } from "../admission/admission_status.ts";
import type { CallsStatus } from "../calls/calls_status.ts";
import type { Version } from "../configuration/version.ts";
import type { DistributionStatus } from "../distribution/distribution_status.ts";
import type { NodeState } from "../peers/node_state.ts";
import type { PeerRecord } from "../peers/peer_record.ts";
import type { LatencySummary } from "../telemetry/latency_summary.ts";

/** The document that the operators' listener serves at `/status`. */
export interface NodeStatus {
  readonly vm: string;
  readonly zone: string;
  readonly state: NodeState;
  /** When the process started, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  /** When the status was computed, in milliseconds since the Unix epoch. */
  readonly at: number;
  readonly version: Version | null;
  /** Zones that are taken out in the configuration in force. */
  readonly zonesTakenOut: readonly string[];
  readonly backendServer: ({ readonly name: string } & AdmissionStatus) | null;
  readonly distribution: DistributionStatus;
  readonly peers: readonly PeerRecord[];
  readonly calls: CallsStatus;
  readonly latencies: readonly LatencySummary[];
}
