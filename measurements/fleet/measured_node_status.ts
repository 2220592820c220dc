import type { Version } from "../../src/configuration/version.ts";
import type { DistributionStatus } from "../../src/distribution/distribution_status.ts";

/** The part of `/status` that the measurements read, of a node and of the baseline alike. */
export interface MeasuredNodeStatus {
  readonly version: Version | null;
  readonly distribution: Pick<
    DistributionStatus,
    | "appliedAt"
    | "platformReads"
    | "controlBytesSent"
    | "controlBytesReceived"
    | "controlMessagesSent"
    | "controlMessagesReceived"
  >;
}
