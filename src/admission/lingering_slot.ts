/** A slot whose call was given up here, but which the backend server may not have let go of. */
export interface LingeringSlot {
  /** When the call was given up, in milliseconds since the Unix epoch. */
  readonly since: number;
  /** Whether the last probe showed that the call had ended. */
  readonly wasFreeInLastProbe: boolean;
  /** When the slot counts as free without proof, in milliseconds since the Unix epoch. */
  readonly until: number;
}
