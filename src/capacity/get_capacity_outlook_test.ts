import test from "ava";
import { createServiceCapacity } from "./create_service_capacity.ts";
import { getCapacityOutlook } from "./get_capacity_outlook.ts";
import type { OpenGate } from "./open_gate.ts";
import { recordFullGate } from "./record_full_gate.ts";
import { recordGateRoom } from "./record_gate_room.ts";

const now = 1_000_000;
const priority = 2;

function createGates(
  count: number,
  { coldUntil }: { readonly coldUntil: number },
): readonly OpenGate[] {
  return Array.from({ length: count }, (_, index) => ({
    identifier: `server-${index}`,
    zone: "sul-a",
    slots: 8,
    coldUntil,
    answerMilliseconds: 100,
  }));
}

function createFullCapacity(full: number, waitMilliseconds = 200) {
  const capacity = createServiceCapacity();
  Array.from({ length: full }, (_, index) =>
    recordFullGate(capacity, {
      identifier: `server-${index}`,
      waitMilliseconds: waitMilliseconds + index,
      priority,
      now,
    }));
  return capacity;
}

test("all backend servers cold after a restart of all nodes: two refusals settle it for every call", (t) => {
  const gates = createGates(24, { coldUntil: now + 3_000 });
  const capacity = createFullCapacity(1);
  t.false(getCapacityOutlook(capacity, { gates, priority, now }).isFull);
  const settled = createFullCapacity(2);
  t.deepEqual(getCapacityOutlook(settled, { gates, priority, now: now + 50 }), {
    isFull: true,
    waitMilliseconds: 150,
  });
});

test("warm backend servers: one of many with room keeps calls coming, and few are full only together", (t) => {
  const many = createGates(24, { coldUntil: 0 });
  t.false(
    getCapacityOutlook(createFullCapacity(2), { gates: many, priority, now })
      .isFull,
  );
  const capacity = createFullCapacity(3);
  t.true(getCapacityOutlook(capacity, { gates: many, priority, now }).isFull);
  recordGateRoom(capacity, { identifier: "server-1" });
  t.false(getCapacityOutlook(capacity, { gates: many, priority, now }).isFull);
  const two = createGates(2, { coldUntil: 0 });
  t.true(
    getCapacityOutlook(createFullCapacity(2), { gates: two, priority, now })
      .isFull,
  );
});

test("knowledge expires within some hundred milliseconds and stays bounded", (t) => {
  const gates = createGates(24, { coldUntil: 0 });
  const capacity = createFullCapacity(24);
  t.false(
    getCapacityOutlook(capacity, { gates, priority, now: now + 300 }).isFull,
  );
  recordFullGate(capacity, {
    identifier: "server-0",
    waitMilliseconds: 1,
    priority,
    now: now + 400,
  });
  t.is(capacity.fullGates.size, 1);
});

test("a burst of calls of low priority: the waits that they met do not count for a call of higher priority, which goes before them", (t) => {
  const gates = createGates(24, { coldUntil: 0 });
  const capacity = createFullCapacity(3);
  const getWait = (callPriority: number) => {
    const options = { gates, priority: callPriority, now };
    const outlook = getCapacityOutlook(capacity, options);
    return outlook.isFull ? outlook.waitMilliseconds : 0;
  };
  t.deepEqual([1, 2, 3].map(getWait), [0, 200, 200]);
});

test("a burst in one zone: full gates there say nothing about those of other zones", (t) => {
  const gates = createGates(24, { coldUntil: 0 }).map((gate, index) => ({
    ...gate,
    zone: index < 8 ? "sul-a" : "sul-b",
  }));
  const own = createFullCapacity(8);
  t.deepEqual(getCapacityOutlook(own, { gates, priority, now }), {
    isFull: false,
    hasOpenZone: true,
  });
  const both = createFullCapacity(9);
  t.true(getCapacityOutlook(both, { gates, priority, now }).isFull);
});
