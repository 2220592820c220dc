import type { Version } from "../configuration/version.ts";

/**
 * A node's contact with the platform. Instants are in milliseconds since the
 * Unix epoch.
 */
export interface PlatformState {
  /**
   * Whether this node is one of the nodes of its zone that read the platform.
   */
  readonly isReader: boolean;
  /** When the next read or watch starts; Infinity if none is needed. */
  readonly nextReadAt: number;
  /** A node that is not a reader does not read again before this instant. */
  readonly earliestReadAt: number;
  readonly isReading: boolean;
  /** The revision of the value that this node last read. */
  readonly revision: number | undefined;
  /** Undefined until the first response or failure. */
  readonly reachable: boolean | undefined;
  /** Failed reads since the last one that succeeded. */
  readonly failures: number;
  /**
   * The latest instant at which the platform responded to any node, as far as
   * reported to this node.
   */
  readonly heardAt: number;
  /** When the next read of the VM list starts. */
  readonly nextListAt: number;
  readonly isListing: boolean;
  /** The older version that was last recorded as ignored. */
  readonly lastIgnoredVersion: Version | undefined;
}
