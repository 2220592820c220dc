import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import { DispatchEventKind } from "../../src/calls/dispatch_event_kind.ts";
import type { Settlement } from "../../src/calls/settlement.ts";
import { SettlementKind } from "../../src/calls/settlement_kind.ts";
import type { ForwardedAttempt } from "./forwarded_attempt.ts";
import type { ForwardingSimulation } from "./forwarding_simulation.ts";
import { stepForwardedCall } from "./step_forwarded_call.ts";
import { stepForwardedAttempt } from "./step_forwarded_attempt.ts";

/** Answers the pending outcome query for the current attempt; an attempt that has not arrived is fenced. */
export function answerOutcomeQuery(simulation: ForwardingSimulation): void {
  const current = simulation.attempts.at(-1);
  if (!simulation.outcomeQueryPending || current === undefined) {
    return;
  }
  simulation.outcomeQueryPending = false;
  stepForwardedAttempt(simulation, current, {
    kind: DispatchEventKind.OutcomeQueried,
  });
  stepForwardedCall(simulation, {
    kind: CallEventKind.SettlementReceived,
    settlement: getSettlement(current),
  });
}

function getSettlement(attempt: ForwardedAttempt): Settlement {
  if (attempt.settlement === undefined && attempt.state === undefined) {
    attempt.settlement = { kind: SettlementKind.NotRun };
  }
  return attempt.settlement ?? { kind: SettlementKind.Running };
}
