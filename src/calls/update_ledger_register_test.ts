import test from "ava";
import type { BackendServer } from "../configuration/backend_server.ts";
import { createSampleRoutes } from "../testing/calls/create_sample_routes.ts";
import type { LedgerRegister } from "./ledger_register.ts";
import { updateLedgerRegister } from "./update_ledger_register.ts";

const service = "encomendas";
const keyLifetimeMilliseconds = 1000;
const empty: LedgerRegister = {
  service: undefined,
  own: undefined,
  servers: [],
  removed: [],
  ledgerSince: 0,
};

/** Takes over registers one after another, each with the instant at which it comes. */
function follow(registers: readonly (readonly [number, readonly string[]])[]) {
  return registers.reduce((register, [now, names]) => {
    const backendServers = names.map((name) =>
      ({ name, service, vm: name }) as BackendServer
    );
    const snapshot = {
      ...createSampleRoutes([]),
      services: new Map([[service, { name: service, backendServers }]]),
      backendServers: new Map(backendServers.map((one) => [one.name, one])),
    };
    const options = { self: "a", now, keyLifetimeMilliseconds };
    return updateLedgerRegister(register, snapshot, options);
  }, empty);
}

function getRemoved(register: LedgerRegister): readonly string[] {
  return register.removed.map(({ server }) => server.name);
}

test("a ledger begins when its server joins the register, and anew when it joins again", (t) => {
  t.is(follow([[10, ["a"]], [20, ["a", "b"]]]).ledgerSince, 10);
  t.is(follow([[10, ["a"]], [20, ["b"]], [30, ["a"]]]).ledgerSince, 30);
});

test("a server that left is remembered for the lifetime of keys, unless it is back", (t) => {
  const left = [[10, ["a", "b"]], [20, ["a"]]] as const;
  t.deepEqual(getRemoved(follow(left)), ["b"]);
  t.deepEqual(getRemoved(follow([...left, [1019, ["a"]]])), ["b"]);
  t.deepEqual(getRemoved(follow([...left, [1020, ["a"]]])), []);
  t.deepEqual(getRemoved(follow([...left, [30, ["a", "b"]]])), []);
});
