import type { Version } from "../configuration/version.ts";

/**
 * A confirmation of the view, requested from peers and the platform after a
 * pause.
 */
export interface ConfirmationState {
  /**
   * When the confirmation was first requested, in milliseconds since the Unix
   * epoch.
   */
  readonly requestedAt: number;
  /** The number of queried peers that have neither responded nor failed. */
  readonly pending: number;
  /**
   * Whether the platform, or a peer whose own view is confirmed, has responded.
   */
  readonly answered: boolean;
  /** Whether the platform read of this confirmation failed. */
  readonly platformFailed: boolean;
  /**
   * Whether a peer that is starting, or confirming its own view, has responded.
   */
  readonly unconfirmedPeerResponded: boolean;
  /**
   * The highest reported version; it must be in force before the view is
   * confirmed.
   */
  readonly minimumVersion: Version | undefined;
  /**
   * When the wait for further responses ends, in milliseconds since the Unix
   * epoch. If those received do not suffice, the next peers are queried.
   */
  readonly deadline: number;
}
