import type { AdmissionState } from "./admission_state.ts";

/**
 * Returns whether the recent service time exceeds `factor` times the baseline.
 * Returns false without a baseline.
 */
export function isSlowerThanBaseline(
  state: AdmissionState,
  options: { readonly factor: number },
): boolean {
  const { recentMilliseconds, baselineMilliseconds } = state.serviceTime;
  return baselineMilliseconds > 0 &&
    recentMilliseconds > options.factor * Math.max(1, baselineMilliseconds);
}
