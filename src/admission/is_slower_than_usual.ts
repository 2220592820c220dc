import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";

/** Tells whether calls take at least `factor` times as long as they usually did. */
export function isSlowerThanUsual(
  state: AdmissionState,
  options: { readonly factor: number; readonly context: AdmissionContext },
): boolean {
  const { samples, recentMilliseconds, usualMilliseconds } = state.serviceTime;
  return samples >= options.context.policy.usualSamples &&
    recentMilliseconds > options.factor * Math.max(1, usualMilliseconds);
}
