/**
 * For how long connections to a node have been refused, which shows that no
 * process listens there. A process that started unseen in between cannot have
 * run a key: see `ledgerQuietMilliseconds`.
 */
export interface RefusedContact {
  /** From then on, in milliseconds since the Unix epoch. */
  readonly since: number;
  /** When the last refused connection was begun, in milliseconds since the Unix epoch. */
  readonly lastAt: number;
}
