import test from "ava";
import { createGateState } from "./create_gate_state.ts";
import type { GateState } from "./gate_state.ts";
import { listKeysBeyondShare } from "./list_keys_beyond_share.ts";
import { processGateQueue } from "./process_gate_queue.ts";
import { requestSlot } from "./request_slot.ts";
import type { RunningCall } from "./running_call.ts";
import { ServerCondition } from "./server_condition.ts";

const start = 1_000_000;

/** Counts how often the running calls are listed. */
class CountedCalls extends Map<string, RunningCall> {
  lists = 0;
  override values(): MapIterator<RunningCall> {
    this.lists += 1;
    return super.values();
  }
}

function createGate(slots: number): GateState & { running: CountedCalls } {
  const gate = { ...createGateState(start), running: new CountedCalls() };
  gate.slots = slots;
  gate.condition = ServerCondition.Up;
  gate.serviceMilliseconds = 10;
  return gate;
}

function request(gate: GateState, name: string, shareKey: string): void {
  requestSlot(gate, {
    offerIdentifier: name,
    route: "catalogo",
    getFingerprint: () => name,
    priority: 2,
    goalDeadline: start + 4_000,
    deadline: start + 12_000,
    waitDeadline: start + 12_000,
    mayComeBack: true,
    shareKey,
    isNested: false,
  }, { now: start });
}

test("callers that run more than an equal part of the slots are beyond their share, and none is while it is alone", (t) => {
  const gate = createGate(4);
  ["a1", "a2", "a3", "a4"].forEach((name) => request(gate, name, "greedy"));
  t.deepEqual(listKeysBeyondShare(gate), new Set());
  request(gate, "b1", "modest");
  t.deepEqual(listKeysBeyondShare(gate), new Set(["greedy"]));
});

test("overload by many callers: the shares are counted once for a long queue, not for each pair of its calls", (t) => {
  const gate = createGate(50);
  Array.from(
    { length: 300 },
    (_, index) => request(gate, `${index}`, `caller-${index % 20}`),
  );
  t.is(gate.queue.length, 250);
  gate.running.lists = 0;
  processGateQueue(gate, start + 1);
  t.is(gate.running.lists, 1);
});
