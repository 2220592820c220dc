import test from "ava";
import { once } from "node:events";
import { createServer } from "node:net";
import { findPortsFreeOnHosts } from "./find_ports_free_on_hosts.ts";

const hosts = ["127.0.9.1", "127.0.9.2"];
const firstPort = 17_000;

test("a port that is in use on one of the hosts is skipped", async (t) => {
  const blockingServer = createServer().listen(firstPort + 1, hosts[1]);
  await once(blockingServer, "listening");
  try {
    t.deepEqual(
      await findPortsFreeOnHosts(hosts, { count: 3, firstPort }),
      [firstPort, firstPort + 2, firstPort + 3],
    );
  } finally {
    blockingServer.close();
  }
});
