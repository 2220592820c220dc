/** Whether a VM that was once missing from the platform's list is on it; the later instant replaces the other. */
export interface VmSighting {
  readonly vm: string;
  readonly listed: boolean;
  /** When a node saw it so, in milliseconds since the Unix epoch. */
  readonly at: number;
}
