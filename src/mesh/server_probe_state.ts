/** What the node's checks of its backend server have shown. Changed in place. */
export interface ServerProbeState {
  /** The incarnation that answered last; undefined where none did. */
  probedIdentifier: string | undefined;
  /** When the last check began, in milliseconds since the Unix epoch. */
  probedAt: number;
  /** When the next check is due, in milliseconds since the Unix epoch. */
  nextProbeAt: number;
  probing: boolean;
}
