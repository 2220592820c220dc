/** What is known of a request that was running when backend servers crashed. */
export interface Suspect {
  /** Identifiers of the crashes in which it is suspected. */
  readonly crashIdentifiers: readonly string[];
  /** Number of crashes that count against it. */
  readonly crashes: number;
  /** When the last one became known, in milliseconds since the Unix epoch. */
  readonly lastCrashAt: number;
}
