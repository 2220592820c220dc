import test from "ava";
import { createGateState } from "./create_gate_state.ts";
import type { GateState } from "./gate_state.ts";
import { requestSlot } from "./request_slot.ts";
import { ServerCondition } from "./server_condition.ts";
import { SlotDecisionKind } from "./slot_decision_kind.ts";

const start = 1_000_000;

function createGate(): GateState {
  const gate = createGateState(start);
  gate.slots = 2;
  gate.condition = ServerCondition.Up;
  return gate;
}

function isGranted(
  gate: GateState,
  options: { readonly name: string; readonly isNested: boolean },
): boolean {
  const decision = requestSlot(gate, {
    offerIdentifier: options.name,
    route: "vagas",
    getFingerprint: () => options.name,
    priority: 2,
    goalDeadline: start + 400,
    deadline: start + 1_200,
    waitDeadline: start,
    mayComeBack: !options.isNested,
    shareKey: "vitrine",
    isNested: options.isNested,
  }, { now: start });
  return decision.kind === SlotDecisionKind.Granted;
}

// Without it, two services that call each other hold all slots of each other
// until the deadlines.
test("a cycle of services: calls from outside leave a slot for the nested calls that end others", (t) => {
  const gate = createGate();
  gate.nestedRequestAt = start - 100;
  gate.nestedCallAt = start - 100;
  t.true(isGranted(gate, { name: "outside-1", isNested: false }));
  t.false(isGranted(gate, { name: "outside-2", isNested: false }));
  t.true(isGranted(gate, { name: "nested", isNested: true }));
});

test("without a cycle, calls from outside get every slot", (t) => {
  const gate = createGate();
  gate.nestedRequestAt = start - 100;
  t.true(isGranted(gate, { name: "outside-1", isNested: false }));
  t.true(isGranted(gate, { name: "outside-2", isNested: false }));
});
