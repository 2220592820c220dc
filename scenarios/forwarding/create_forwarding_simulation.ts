import { createCallState } from "../../src/calls/create_call_state.ts";
import type { ForwardingSimulation } from "./forwarding_simulation.ts";

const startInstant = 10_000_000;
const deadlineMilliseconds = 4000;

/** Creates a simulation of a call without an idempotency key that has not been forwarded yet. */
export function createForwardingSimulation(
  idempotent = false,
): ForwardingSimulation {
  return {
    now: startInstant,
    call: createCallState({
      idempotent,
      repeatsPossible: false,
      deadline: startInstant + deadlineMilliseconds,
    }),
    attempts: [],
    outcomeQueryPending: false,
    outcome: undefined,
  };
}
