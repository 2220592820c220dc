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

function findBrokenPromises(
  calls: readonly SoakCall[],
  runs: readonly SoakRun[],
) {
  return findSoakViolations({
    calls: new Map(calls.map((one) => [one.identifier, one])),
    runs: [...runs],
    settledAt: 5_000,
  }).map(({ promise }) => promise);
}

test("a call that ran once and was answered completely breaks no promise", (t) => {
  t.deepEqual(findBrokenPromises([call], [run]), []);
});

test("each broken promise is reported", (t) => {
  t.is(findBrokenPromises([call], [run, run]).length, 1);
  t.is(findBrokenPromises([{ ...call, status: 503 }], [run]).length, 1);
  t.is(findBrokenPromises([{ ...call, whole: false }], [run]).length, 1);
  t.is(findBrokenPromises([call], []).length, 1);
  t.is(findBrokenPromises([call], [{ ...run, url: "/orders/b" }]).length, 1);
  t.is(
    findBrokenPromises([call], [{ ...run, callerService: "repasses" }]).length,
    1,
  );
  t.is(findBrokenPromises([], [run]).length, 1);
  const later = { ...call, identifier: "b", status: 404 };
  t.is(findBrokenPromises([call, later], [run]).length, 1);
});

test("a call that receives status 404 from settledAt on is reported", (t) => {
  const unknown = { ...call, status: 404, whole: false };
  t.deepEqual(findBrokenPromises([{ ...unknown, sentAt: 4_999 }], []), []);
  t.is(findBrokenPromises([{ ...unknown, sentAt: 5_000 }], []).length, 1);
});
