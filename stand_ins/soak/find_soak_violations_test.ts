import test from "ava";
import { findSoakViolations } from "./find_soak_violations.ts";
import type { SoakCall } from "./soak_call.ts";
import type { SoakRun } from "./soak_run.ts";

const call: SoakCall = {
  identifier: "a",
  idempotent: false,
  callerService: "vitrine",
  url: "/orders/a",
  sentAt: 1_000,
  vm: 0,
  incarnation: 1,
  status: 200,
  whole: true,
};
const run: SoakRun = {
  callIdentifier: "a",
  url: "/orders/a",
  service: "encomendas",
  callerService: "vitrine",
};

function findPromises(calls: readonly SoakCall[], runs: readonly SoakRun[]) {
  return findSoakViolations({
    calls: new Map(calls.map((one) => [one.identifier, one])),
    runs: [...runs],
    settledAt: 5_000,
  }).map(({ promise }) => promise);
}

test("a call that ran once and was answered completely breaks no promise", (t) => {
  t.deepEqual(findPromises([call], [run]), []);
});

test("each broken promise is reported", (t) => {
  t.is(findPromises([call], [run, run]).length, 1);
  t.is(findPromises([{ ...call, status: 503 }], [run]).length, 1);
  t.is(findPromises([{ ...call, whole: false }], [run]).length, 1);
  t.is(findPromises([call], []).length, 1);
  t.is(findPromises([call], [{ ...run, url: "/orders/b" }]).length, 1);
  t.is(findPromises([call], [{ ...run, callerService: "repasses" }]).length, 1);
  t.is(findPromises([], [run]).length, 1);
  const later = { ...call, identifier: "b", status: 404 };
  t.is(findPromises([call, later], [run]).length, 1);
});

test("a route that is still unknown from settledAt on is reported", (t) => {
  const unknown = { ...call, status: 404, whole: false };
  t.deepEqual(findPromises([{ ...unknown, sentAt: 4_999 }], []), []);
  t.is(findPromises([{ ...unknown, sentAt: 5_000 }], []).length, 1);
});
