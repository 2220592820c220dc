/** The seed and the size of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly vms: number;
  readonly seconds: number;
  /** Whether addresses go to the other service at times, beside the faults that the seed draws; false if omitted. */
  readonly reusesAddresses?: boolean;
}
