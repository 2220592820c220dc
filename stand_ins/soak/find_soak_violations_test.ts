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
  server: "server",
  receivedAt: 1_000,
};

function findBrokenPromises(
  calls: readonly SoakCall[],
  runs: readonly SoakRun[],
) {
  return findSoakViolations({
    calls: new Map(calls.map((one) => [one.identifier, one])),
    runs: [...runs],
    limits: [{
      server: "limited",
      callsPerSecond: 1,
      from: 0,
      until: Number.POSITIVE_INFINITY,
    }],
    withdrawnAt: new Map([["bakery-key-1", 1_000]]),
    disturbances: [{ vm: 1, from: 0, until: 20_000 }],
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

test("a call that a backend server of another service runs is reported", (t) => {
  const urls = ["/order/a", "/keyed/a", "/v3/a", "/look/a"];
  const countBroken = (url: string, service: string) =>
    findBrokenPromises([{ ...call, url }], [{ ...run, url, service }]).length;
  t.deepEqual(urls.map((url) => countBroken(url, "encomendas")), [0, 1, 1, 0]);
  t.deepEqual(urls.map((url) => countBroken(url, "vitrine")), [1, 0, 0, 0]);
});

test("a call that receives status 404 from settledAt on is reported", (t) => {
  const unknown = { ...call, status: 404, whole: false };
  t.deepEqual(findBrokenPromises([{ ...unknown, sentAt: 4_999 }], []), []);
  t.is(findBrokenPromises([{ ...unknown, sentAt: 5_000 }], []).length, 1);
});

/** Creates calls of a VM, one every 100 ms, and the run of each. */
function createTraffic(
  options: {
    readonly vm: number;
    readonly server: string;
    readonly url?: string;
    readonly count: number;
    readonly change?: Partial<SoakCall>;
  },
) {
  const { vm, server, url = "/look/a", count, change } = options;
  const calls = Array.from({ length: count }, (_, index): SoakCall => ({
    ...call,
    vm,
    url,
    identifier: `${vm}-${server}-${index}`,
    idempotent: true,
    sentAt: 1_000 + index * 100,
    respondedAt: 1_010 + index * 100,
    ...change,
  }));
  const runs = calls.map(({ identifier, sentAt }): SoakRun => ({
    ...run,
    url,
    server,
    callIdentifier: identifier,
    receivedAt: sentAt,
  }));
  return { calls, runs };
}

test("calls beyond a stated limit are reported, but for those of a disturbed VM", (t) => {
  const countBroken = (vm: number, count: number) => {
    const { calls, runs } = createTraffic({
      vm,
      server: "limited",
      count,
      change: { limitedServer: "limited" },
    });
    return findBrokenPromises(calls, runs).length;
  };
  t.is(countBroken(0, 10), 0);
  t.is(countBroken(0, 30), 1);
  t.is(countBroken(1, 30), 0);
});

test("calls to a backend server that leaves are reported, from VMs that had passed that on", (t) => {
  const countBroken = (vm: number, count: number) => {
    const { calls, runs } = createTraffic({
      vm,
      server: "leaving",
      count,
      change: { leavingServer: "leaving" },
    });
    return findBrokenPromises(calls, runs).length;
  };
  t.is(countBroken(0, 20), 0);
  t.true(countBroken(0, 30) > 0);
  t.is(countBroken(1, 30), 0);
});

test("runs of a request that has crashed three backend servers are reported", (t) => {
  const countBroken = (count: number) => {
    const { calls, runs } = createTraffic({
      vm: 0,
      server: "any",
      url: "/look/crash-1",
      count,
      change: { status: 502 },
    });
    return findBrokenPromises(calls, runs).length;
  };
  t.is(countBroken(30), 0);
  t.is(countBroken(40), 1);
});

test("a key that is accepted after its withdrawal, passed on, or not the organisation's is reported", (t) => {
  const keyed = { ...call, key: "bakery-key-1", sentAt: 3_500 };
  const keyedRun = { ...run, organisation: "bakery" };
  t.deepEqual(findBrokenPromises([keyed], [keyedRun]), []);
  t.deepEqual(findBrokenPromises([{ ...keyed, sentAt: 3_501 }], [keyedRun]), [
    "No node accepts a withdrawn key",
  ]);
  t.deepEqual(findBrokenPromises([keyed], [{ ...keyedRun, hasKey: true }]), [
    "No backend server receives a key",
  ]);
  [run, { ...run, organisation: "school" }].forEach((other) =>
    t.deepEqual(findBrokenPromises([keyed], [other]), [
      "A backend server receives the organisation of the key",
    ])
  );
  t.deepEqual(findBrokenPromises([call], [keyedRun]), [
    "A backend server receives the organisation of the key",
  ]);
  const unknown = { ...call, key: "school-key", status: 401 };
  t.deepEqual(findBrokenPromises([unknown], []), [
    "A key that every version has is never unknown",
  ]);
});
