import { createDispatchState } from "../../src/calls/create_dispatch_state.ts";
import { DispatchEventKind } from "../../src/calls/dispatch_event_kind.ts";
import { getDispatchRefusalReason } from "../../src/calls/get_dispatch_refusal_reason.ts";
import type { ForwardedAttempt } from "./forwarded_attempt.ts";
import type { ForwardingSimulation } from "./forwarding_simulation.ts";
import { stepForwardedAttempt } from "./step_forwarded_attempt.ts";

/** Delivers an attempt to its node, however late; an attempt is delivered only once. */
export function deliverForwardedAttempt(
  simulation: ForwardingSimulation,
  attempt: ForwardedAttempt,
): void {
  if (attempt.state !== undefined) {
    return;
  }
  attempt.state = createDispatchState({
    idempotent: simulation.call.idempotent,
    keyed: false,
    deadline: simulation.call.deadline,
    now: simulation.now,
    remote: true,
  });
  const refusalReason = getDispatchRefusalReason({
    hasSnapshot: true,
    isRegistered: true,
    confirmingView: false,
    draining: false,
    ownBackendServer: attempt.backendServer,
  }, { backendServer: attempt.backendServer, settlement: attempt.settlement });
  stepForwardedAttempt(simulation, attempt, {
    kind: DispatchEventKind.Arrived,
    refusalReason,
  });
}
