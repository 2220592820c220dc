/** The state of the probes of this VM's backend server. Mutable. */
export interface ServerProbeState {
  /**
   * Identifier of the incarnation that answered last; undefined if none did.
   */
  probedIdentifier: string | undefined;
  /** When the last probe began, in milliseconds since the Unix epoch. */
  probedAt: number;
  /** When the next probe is due, in milliseconds since the Unix epoch. */
  nextProbeAt: number;
  probing: boolean;
}
