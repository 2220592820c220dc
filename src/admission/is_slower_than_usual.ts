import type { AdmissionState } from "./admission_state.ts";

/** Tells whether calls take at least `factor` times as long as they usually did. */
export function isSlowerThanUsual(
  state: AdmissionState,
  options: { readonly factor: number },
): boolean {
  const { recentMilliseconds, usualMilliseconds } = state.serviceTime;
  return usualMilliseconds > 0 &&
    recentMilliseconds > options.factor * Math.max(1, usualMilliseconds);
}
