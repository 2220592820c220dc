import test from "ava";
import { once } from "node:events";
import { createServer, get } from "node:http";
import type { AddressInfo } from "node:net";
import { trackConnection } from "./track_connection.ts";

const blockedMilliseconds = 300;

function blockEventLoop(): void {
  const until = performance.now() + blockedMilliseconds;
  while (performance.now() < until);
}

// Guards against giving up a VM because the event loop of this one was blocked.
test("a connection that was established while the event loop was blocked does not count as timed out", async (t) => {
  const server = createServer((_, response) => response.end("cake"));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const request = get({ agent: false, host: "127.0.0.1", port });
  const connection = trackConnection(request);
  request.once("socket", () => setImmediate(blockEventLoop));
  const [response] = await once(request, "response");
  response.resume();
  t.true(connection.isConnected());
});
