/**
 * The period for which connections to a node have been refused, which shows
 * that no process listens there. A process that started and ended unnoticed
 * within the period cannot have run a key, because of the quiet period of
 * ledgers.
 */
export interface RefusedContact {
  /** Start of the period, in milliseconds since the Unix epoch. */
  readonly since: number;
  /** When the last refused connection was begun, in milliseconds since the Unix epoch. */
  readonly lastAt: number;
}
