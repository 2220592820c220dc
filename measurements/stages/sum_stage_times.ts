import type { CallStage } from "./call_stage.ts";
import { getCallStage } from "./get_call_stage.ts";
import type { ProcessorProfile } from "./processor_profile.ts";

/** A longer time without a sample is one in which the process did not run. */
const sampleMicrosecondsMaximum = 1_000;

/**
 * Adds up the time of a profile by stage, in microseconds, within a span of the
 * monotonic clock in microseconds.
 */
export function sumStageTimes(
  profile: ProcessorProfile,
  options: {
    readonly getModule: (lineNumber: number) => string | undefined;
    readonly bundleName: string;
    readonly from: number;
    readonly to: number;
  },
): ReadonlyMap<CallStage, number> {
  const { getModule, bundleName, from, to } = options;
  const stages = new Map(
    profile.nodes.map(({ id, callFrame }) => {
      const { url, lineNumber } = callFrame;
      const module = url.endsWith(bundleName) ? getModule(lineNumber) : url;
      return [id, getCallStage(callFrame, module ?? url)];
    }),
  );
  const times = new Map<CallStage, number>();
  let at = profile.startTime;
  profile.samples.forEach((identifier, index) => {
    at += profile.timeDeltas[index] ?? 0;
    // The sample stands for the time until the next one.
    const elapsed = Math.min(
      Math.max(0, profile.timeDeltas[index + 1] ?? 0),
      sampleMicrosecondsMaximum,
    );
    const stage = stages.get(identifier);
    if (stage === undefined || at < from || at >= to) return;
    times.set(stage, (times.get(stage) ?? 0) + elapsed);
  });
  return times;
}
