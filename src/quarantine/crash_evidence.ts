/** What nodes tell each other of a request under which backend servers crashed. */
export interface CrashEvidence {
  readonly fingerprint: string;
  /** Identifiers of the crashes in which the request is suspected. */
  readonly crashIdentifiers: readonly string[];
  /** Number of crashes that count against it. */
  readonly crashes: number;
}
