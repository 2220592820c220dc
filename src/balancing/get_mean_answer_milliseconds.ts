import type { ServiceLoad } from "./service_load.ts";

/** Time that an answer is assumed to take before any was observed, as a share of the goal. */
const assumedAnswerShare = 0.3;

/** Returns the mean time to an answer of a route over the service. */
export function getMeanAnswerMilliseconds(
  serviceLoad: ServiceLoad,
  options: { readonly route: string; readonly goalMilliseconds: number },
): number {
  return serviceLoad.answerMilliseconds.get(options.route) ??
    options.goalMilliseconds * assumedAnswerShare;
}
