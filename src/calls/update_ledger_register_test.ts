import test from "ava";
import type { BackendServer } from "../configuration/backend_server.ts";
import { createSampleSnapshot } from "../testing/calls/create_sample_snapshot.ts";
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

/** Applies registers in sequence, each at the given instant in milliseconds. */
function applyRegisters(
  registers: readonly (readonly [number, readonly string[]])[],
) {
  return registers.reduce((register, [now, names]) => {
    const backendServers = names.map((name) =>
      ({ name, service, vm: name }) as BackendServer
    );
    const snapshot = {
      ...createSampleSnapshot([]),
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

test("a ledger begins when its server is added to the register, and begins anew when it is added again", (t) => {
  t.is(applyRegisters([[10, ["a"]], [20, ["a", "b"]]]).ledgerSince, 10);
  t.is(applyRegisters([[10, ["a"]], [20, ["b"]], [30, ["a"]]]).ledgerSince, 30);
});

test("a removed server is kept for the lifetime of keys, unless it is added again", (t) => {
  const left = [[10, ["a", "b"]], [20, ["a"]]] as const;
  t.deepEqual(getRemoved(applyRegisters(left)), ["b"]);
  t.deepEqual(getRemoved(applyRegisters([...left, [1019, ["a"]]])), ["b"]);
  t.deepEqual(getRemoved(applyRegisters([...left, [1020, ["a"]]])), []);
  t.deepEqual(getRemoved(applyRegisters([...left, [30, ["a", "b"]]])), []);
});
