import type { Version } from "../configuration/version.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";

/** What operators see of the distribution on one node. */
export interface DistributionStatus {
  readonly version: Version | undefined;
  /** When the version in force was put in force, in milliseconds since the Unix epoch. */
  readonly appliedAt: number | undefined;
  /** Whether this node is one of its zone's readers of the platform. */
  readonly isReader: boolean;
  /** The last version that was refused, with the reasons, until a newer one is applied. */
  readonly refused:
    | {
      readonly version: Version | undefined;
      readonly reasons: readonly Diagnostic[];
    }
    | undefined;
  /** Another content published under the number in force; undefined where none was seen. */
  readonly conflict?: Version | undefined;
  readonly platformReachable: boolean | undefined;
  /** Reads and watches sent to the platform since the start. */
  readonly platformReads: number;
  readonly controlBytesSent: number;
  readonly controlBytesReceived: number;
  readonly controlMessagesSent: number;
  readonly controlMessagesReceived: number;
}
