/** A rate limit that a backend server stated. Instants are in milliseconds since the Unix epoch. */
export interface SoakLimit {
  /** Identifier of the incarnation. */
  readonly server: string;
  readonly callsPerSecond: number;
  readonly from: number;
  /** Infinity until it is lifted. */
  until: number;
}
