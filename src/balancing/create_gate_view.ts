import type { GateView } from "./gate_view.ts";

/** Creates the view of a node that was not asked yet. */
export function createGateView(): GateView {
  return {
    inFlight: 0,
    load: undefined,
    loadAt: 0,
    loadInFlight: 0,
    avoidUntil: 0,
    fullUntil: 0,
    waitMilliseconds: 0,
    contactFailures: 0,
    failureShare: 0,
    judgedAt: 0,
    answerMilliseconds: new Map(),
  };
}
