/** One deployment and load whose cost is measured. */
export interface StageCase {
  /** Path of the bundle that both nodes run. */
  readonly bundlePath: string;
  /** Parameters of the runtime. */
  readonly runtimeParameters: readonly string[];
  /** Number of backend servers in the register. */
  readonly servers: number;
  readonly callsPerSecond: number;
  readonly seconds: number;
  /** Load before the measured one, which lets the runtime compile its code. */
  readonly warmUpSeconds: number;
  /** Whether profiles are written, which costs time itself. */
  readonly profiled: boolean;
}
