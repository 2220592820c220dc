import type { Version } from "../configuration/version.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";

/** The status of the distribution on one node, as shown to operators. */
export interface DistributionStatus {
  readonly version: Version | undefined;
  /** When `version` was put in force, in milliseconds since the Unix epoch. */
  readonly appliedAt: number | undefined;
  /**
   * Whether this node is one of the nodes of its zone that read the platform.
   */
  readonly isReader: boolean;
  /**
   * The last refused version with the reasons, until a newer version is
   * applied.
   */
  readonly refused:
    | {
      readonly version: Version | undefined;
      readonly reasons: readonly Diagnostic[];
    }
    | undefined;
  /**
   * Different content published under the number in force; undefined if none
   * was observed.
   */
  readonly conflict?: Version | undefined;
  readonly platformReachable: boolean | undefined;
  /**
   * Reads and watches sent to the platform since the start, including reads of
   * the VM list.
   */
  readonly platformReads: number;
  readonly controlBytesSent: number;
  readonly controlBytesReceived: number;
  readonly controlMessagesSent: number;
  readonly controlMessagesReceived: number;
}
