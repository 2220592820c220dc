import test from "ava";
import { once } from "node:events";
import { backendServerSettingsSchema } from "../backend_server/backend_server_settings_schema.ts";
import { createBackendServer } from "../backend_server/create_backend_server.ts";
import { getPort } from "../common/get_port.ts";
import { callerSettingsSchema } from "./caller_settings_schema.ts";
import { runCaller } from "./run_caller.ts";

const service = {
  service: "vitrine",
  priority: "normal",
  path: "/vitrine/cakes",
  method: "GET",
  weight: 1,
  bytes: 5000,
};

async function runCallerWithFaults(faults: object) {
  const server = createBackendServer(
    backendServerSettingsSchema.parse({
      name: "vitrine-1",
      slots: 100,
      coldSlots: 100,
    }),
  );
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const origin = `http://127.0.0.1:${getPort(server)}`;
  await fetch(`${origin}/stand-in/faults`, {
    method: "PUT",
    body: JSON.stringify(faults),
  });
  const report = await runCaller(
    callerSettingsSchema.parse({
      nodes: [`127.0.0.1:${getPort(server)}`],
      callsPerSecond: 400,
      durationMilliseconds: 10_000,
      callsMaximum: 40,
      services: [service],
      abandonShare: 0,
    }),
    () => false,
  );
  server.closeAllConnections();
  server.close();
  return report;
}

test("runCaller() counts complete answers", async (t) => {
  const report = await runCallerWithFaults({});
  t.deepEqual(report.endings, { whole: 40 });
});

test("runCaller() never counts a truncated answer as complete", async (t) => {
  const report = await runCallerWithFaults({ answers: "cut", every: 4 });
  t.deepEqual([report.whole, report.cut], [30, 10]);
});
