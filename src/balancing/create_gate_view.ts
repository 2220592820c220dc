import type { GateView } from "./gate_view.ts";

/** Creates the view of a node to which no call has been sent yet. */
export function createGateView(): GateView {
  return {
    inFlight: 0,
    load: undefined,
    callsPerSecondLimit: undefined,
    loadReceivedAt: 0,
    inFlightAtLoad: 0,
    avoidUntil: 0,
    fullUntil: 0,
    waitMilliseconds: 0,
    contactFailures: 0,
    failureRate: 0,
    lastOutcomeAt: 0,
    answerMilliseconds: new Map(),
  };
}
