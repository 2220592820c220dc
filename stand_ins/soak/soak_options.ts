/** The seed and the size of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly vms: number;
  readonly seconds: number;
}
