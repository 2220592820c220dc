import test from "ava";
import { createServiceCapacity } from "./create_service_capacity.ts";
import { getAdmittedCallsPerSecond } from "./get_admitted_calls_per_second.ts";
import { promiseRoom } from "./promise_room.ts";

const now = 1_000_000;

test("a crowd that is refused together is told to return at the rate that can be admitted", (t) => {
  const capacity = createServiceCapacity();
  const instants = Array.from({ length: 5 }, () =>
    promiseRoom(capacity, {
      admittedCallsPerSecond: 10,
      earliest: now + 50,
      latest: now + 300,
    }) - now);
  t.deepEqual(instants, [50, 150, 250, 350, 350]);
});

test("one caller that repeats at once and often: its repetitions take no room from those who wait beyond what they are promised", (t) => {
  const capacity = createServiceCapacity();
  const promise = () =>
    promiseRoom(capacity, {
      admittedCallsPerSecond: 10,
      earliest: now,
      latest: now + 200,
    });
  const waiting = promise();
  Array.from({ length: 100 }, promise);
  t.is(waiting, now);
  t.true(capacity.promisedUntil <= now + 300);
});

test("the rate of a service is known from the first call: cold gates count with their rate in cold start", (t) => {
  const gate = {
    identifier: "server-0",
    zone: "sul-a",
    slots: 8,
    coldUntil: 0,
    answerMilliseconds: 100,
  };
  const cold = { ...gate, coldUntil: now + 3_000 };
  const options = { coldCallsPerSecond: 14, nodes: 2, now };
  t.is(getAdmittedCallsPerSecond([gate, cold], options), (80 + 14) / 2);
});

test("a service with few backend servers in a large mesh: one promise does not send further callers away for minutes", (t) => {
  const capacity = createServiceCapacity();
  const promise = () =>
    promiseRoom(capacity, {
      admittedCallsPerSecond: 0.01,
      earliest: now + 50,
      latest: now + 300,
    }) - now;
  t.deepEqual([promise(), promise(), promise()], [50, 1_050, 1_050]);
});
