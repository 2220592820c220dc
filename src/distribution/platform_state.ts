import type { Version } from "../configuration/version.ts";

/** What a node knows of the platform. */
export interface PlatformState {
  readonly isReader: boolean;
  /** When the node reads or watches next; Infinity where it has no need to. */
  readonly nextReadAt: number;
  /** No node but a reader reads again before this instant. */
  readonly notBefore: number;
  readonly isReading: boolean;
  /** The revision of the value last read here. */
  readonly revision: number | undefined;
  /** Undefined until the first answer or failure. */
  readonly reachable: boolean | undefined;
  /** Reads that failed since the last that was answered. */
  readonly failures: number;
  /** The latest instant at which any node, as far as known here, had an answer from the platform. */
  readonly heardAt: number;
  readonly nextListAt: number;
  readonly isListing: boolean;
  /** The older version that was last reported as ignored. */
  readonly ignoredOlder: Version | undefined;
}
