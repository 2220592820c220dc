/** How the callers of a run behave, and how long a call works. */
export interface ServiceLoad {
  readonly callsPerSecond: number;
  readonly abandonShare: number;
  readonly abandonMilliseconds: readonly [number, number];
  readonly workMilliseconds: readonly [number, number];
}
