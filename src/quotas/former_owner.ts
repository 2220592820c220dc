/** The owner of a quota before a change of the hosts. */
export interface FormerOwner {
  readonly host: string;
  /** Steady instant, in milliseconds, until which it is asked for tokens. */
  readonly until: number;
}
