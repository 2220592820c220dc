import type { Version } from "../../src/configuration/version.ts";
import type { DistributionStatus } from "../../src/distribution/distribution_status.ts";

/** The fields of `/status` that the measurements read; nodes and plain nodes both serve them. */
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
