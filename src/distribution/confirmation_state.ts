import type { Version } from "../configuration/version.ts";

/** The question of a node that was paused to its peers. */
export interface ConfirmationState {
  readonly askedAt: number;
  /** Peers that were asked and have neither answered nor failed. */
  readonly pending: number;
  /** Whether a peer with a view of its own, or the platform, has answered. */
  readonly answered: boolean;
  /** Whether the read of the platform that goes with the question failed. */
  readonly platformFailed: boolean;
  /** Whether a peer has answered that is confirming its own view too. */
  readonly answeredByUnsure: boolean;
  /** The highest version heard; it has to be in force before the view is confirmed. */
  readonly floor: Version | undefined;
  /** When the answers so far suffice, or else the next peers are asked. */
  readonly deadline: number;
}
