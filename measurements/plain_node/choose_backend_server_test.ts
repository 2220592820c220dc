import test from "ava";
import { compileSnapshot } from "../../src/configuration/compile_snapshot.ts";
import { createConfigurationSet } from "../compile/create_configuration_set.ts";
import { createSizedDocument } from "../documents/create_sized_document.ts";
import { expectOk } from "../expect_ok.ts";
import { chooseBackendServer } from "./choose_backend_server.ts";

const size = { backendServers: 6, services: 2, zones: 3, regions: 1 };

function compile(zonesTakenOut: readonly string[]) {
  const document = JSON.parse(
    createSizedDocument(size, { number: 1, variant: 0 }),
  );
  const changed = {
    ...document,
    rules: { ...document.rules, zonesTakenOut },
  };
  return expectOk(
    compileSnapshot(createConfigurationSet(JSON.stringify(changed))),
  );
}

test("chooseBackendServer() chooses among all backend servers of the service", (t) => {
  const snapshot = compile([]);
  const chosen = [0, 0.4, 0.99].map((random) =>
    chooseBackendServer(snapshot, { service: "service-0", random })?.zone
  );
  t.deepEqual(chosen, ["zone-0", "zone-1", "zone-2"]);
});

test("chooseBackendServer() excludes a zone that was taken out", (t) => {
  const snapshot = compile(["zone-0"]);
  const chosen = [0, 0.99].map((random) =>
    chooseBackendServer(snapshot, { service: "service-0", random })?.zone
  );
  t.deepEqual(chosen, ["zone-1", "zone-2"]);
});
