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
  life: 1,
  status: 200,
  whole: true,
};
const run: SoakRun = {
  callIdentifier: "a",
  url: "/orders/a",
  service: "encomendas",
  callerService: "vitrine",
};

function find(calls: readonly SoakCall[], runs: readonly SoakRun[]) {
  return findSoakViolations({
    calls: new Map(calls.map((each) => [each.identifier, each])),
    runs: [...runs],
    settledAt: 5_000,
  }).map(({ promise }) => promise);
}

test("an orderly call breaks no promise", (t) => {
  t.deepEqual(find([call], [run]), []);
});

test("each broken promise is found", (t) => {
  t.is(find([call], [run, run]).length, 1);
  t.is(find([{ ...call, status: 503 }], [run]).length, 1);
  t.is(find([{ ...call, whole: false }], [run]).length, 1);
  t.is(find([call], []).length, 1);
  t.is(find([call], [{ ...run, url: "/orders/b" }]).length, 1);
  t.is(find([call], [{ ...run, callerService: "repasses" }]).length, 1);
  t.is(find([], [run]).length, 1);
  const later = { ...call, identifier: "b", status: 404 };
  t.is(find([call, later], [run]).length, 1);
});

test("a version that is still unknown when everything has settled is found", (t) => {
  const unknown = { ...call, status: 404, whole: false };
  t.deepEqual(find([{ ...unknown, sentAt: 4_999 }], []), []);
  t.is(find([{ ...unknown, sentAt: 5_000 }], []).length, 1);
});
