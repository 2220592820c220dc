/** A slot whose call has ended for this node, but which the backend server may still be running. */
export interface LingeringSlot {
  /** When the call ended for this node, in milliseconds since the Unix epoch. */
  readonly since: number;
  /** Whether the last probe indicated that the call had ended. */
  readonly wasFreeInLastProbe: boolean;
  /**
   * When the slot is freed even if no probe shows that the call has ended, in
   * milliseconds since the Unix epoch.
   */
  readonly until: number;
}
