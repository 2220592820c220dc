import test from "ava";
import { once } from "node:events";
import { getPort } from "../common/get_port.ts";
import type { PlatformCounters } from "./platform_counters.ts";
import { createPlatformServer } from "./create_platform_server.ts";

test("the platform stand-in completes watches on a new value, and returns the stale revision or the outage that its faults set", async (t) => {
  const server = createPlatformServer({ readsPerSecondMaximum: 100 });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const origin = `http://127.0.0.1:${getPort(server)}`;
  const put = (name: string, body: string) =>
    fetch(`${origin}/stand-in/${name}`, { method: "PUT", body });
  await put("value", "first");
  const watch = fetch(
    `${origin}/values/configuration?after=1&until=${Date.now() + 60_000}`,
  );
  const getCounters = async () =>
    await (await fetch(`${origin}/stand-in/counters`))
      .json() as PlatformCounters;
  const waitForWatch = async (): Promise<void> =>
    (await getCounters()).waitingWatches === 1 ? undefined : waitForWatch();
  await waitForWatch();
  await put("value", "second");
  t.deepEqual(await (await watch).json(), { revision: 2, value: "second" });
  await put("faults", JSON.stringify({ staleRevision: 1 }));
  const stale = await fetch(`${origin}/values/configuration`);
  t.deepEqual(await stale.json(), { revision: 1, value: "first" });
  await put("faults", JSON.stringify({ outage: true }));
  await t.throwsAsync(fetch(`${origin}/vms`));
  t.like(await getCounters(), { reads: 3, watches: 1, vmReads: 0 });
  server.closeAllConnections();
  server.close();
});
