import { createServiceLoad } from "./create_service_load.ts";
import type { GateView } from "./gate_view.ts";
import type { ServiceLoad } from "./service_load.ts";

/**
 * Creates the view of a node to which no call has been sent yet. The views of one
 * service share `serviceLoad`.
 */
export function createGateView(
  serviceLoad: ServiceLoad = createServiceLoad(),
): GateView {
  return {
    serviceLoad,
    inFlight: 0,
    load: undefined,
    callsPerSecondLimit: undefined,
    loadReceivedAt: 0,
    inFlightAtLoad: 0,
    avoidUntil: 0,
    fullUntil: 0,
    waitMilliseconds: 0,
    contactFailures: 0,
    unreachedUntil: 0,
    failureRate: 0,
    slowness: 1,
    slownessAt: 0,
    lastOutcomeAt: 0,
    answerMilliseconds: new Map(),
  };
}
