import { CallEventKind } from "../../src/calls/call_event_kind.ts";
import { DispatchEventKind } from "../../src/calls/dispatch_event_kind.ts";
import type { Settlement } from "../../src/calls/settlement.ts";
import { SettlementKind } from "../../src/calls/settlement_kind.ts";
import type { HandoverTry } from "./forwarded_attempt.ts";
import type { HandoverWorld } from "./forwarding_simulation.ts";
import { stepHandoverCall } from "./step_forwarded_call.ts";
import { stepHandoverTry } from "./step_forwarded_attempt.ts";

/** Answers the open question for the outcome of the current try; one that never arrived is fenced. */
export function settleHandover(world: HandoverWorld): void {
  const current = world.tries.at(-1);
  if (!world.questionOpen || current === undefined) {
    return;
  }
  world.questionOpen = false;
  stepHandoverTry(world, current, { kind: DispatchEventKind.Asked });
  stepHandoverCall(world, {
    kind: CallEventKind.Settled,
    settlement: getSettlement(current),
  });
}

function getSettlement(one: HandoverTry): Settlement {
  if (one.settlement === undefined && one.state === undefined) {
    one.settlement = { kind: SettlementKind.NotRun };
  }
  return one.settlement ?? { kind: SettlementKind.Running };
}
