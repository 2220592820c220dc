/** The node that an owner with an outdated view has leased its quota to. */
export interface QuotaLessee {
  readonly host: string;
  /** Steady instant, in milliseconds, until which it may grant as owner. */
  readonly until: number;
}
