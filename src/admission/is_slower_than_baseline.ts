import type { AdmissionState } from "./admission_state.ts";

/** Tells whether calls take at least `factor` times as long as they usually did. */
export function isSlowerThanBaseline(
  state: AdmissionState,
  options: { readonly factor: number },
): boolean {
  const { recentMilliseconds, baselineMilliseconds } = state.serviceTime;
  return baselineMilliseconds > 0 &&
    recentMilliseconds > options.factor * Math.max(1, baselineMilliseconds);
}
