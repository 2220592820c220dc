import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { ControlFailureKind } from "../peers/control_failure_kind.ts";
import { systemClock } from "../runtime/system_clock.ts";
import { createControlClient } from "./create_control_client.ts";

const host = "127.0.0.1";
const callTimeoutMilliseconds = 20_000;

function listen(t: ExecutionContext, server: Server): Promise<number> {
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return new Promise((resolve) =>
    server.listen(
      0,
      host,
      () => resolve((server.address() as AddressInfo).port),
    )
  );
}

function createCall(port: number, details: object = {}) {
  return {
    address: { host, port },
    method: "echo",
    parameters: { text: "grüße" },
    deadline: Date.now() + callTimeoutMilliseconds,
    freshConnection: false,
    ...details,
  };
}

/**
 * Creates a server that responds to method `echo` with its parameters, to `fail` with
 * an error, to `rubbish` without JSON-RPC and to `crossed` with another identifier.
 */
function createEchoServer(): Server {
  return createServer(async (request, response) => {
    const chunks = await request.toArray();
    const { id, method, params } = JSON.parse(
      new TextDecoder().decode(Buffer.concat(chunks)),
    );
    const responses: Record<string, string> = {
      echo: JSON.stringify({ jsonrpc: "2.0", id, result: params }),
      fail: JSON.stringify({
        jsonrpc: "2.0",
        id,
        error: { code: -32602, message: "Refused" },
      }),
      rubbish: "<html>",
      crossed: JSON.stringify({ jsonrpc: "2.0", id: id + 1, result: 1 }),
    };
    response.end(responses[method]);
  });
}

test("createControlClient() returns the result, and reports errors and malformed or mismatched responses as failures", async (t) => {
  const server = createEchoServer();
  const port = await listen(t, server);
  const client = createControlClient({ clock: systemClock });
  t.teardown(() => client.close());
  const echoed = await client.call(createCall(port));
  t.deepEqual(echoed.unwrapOr(undefined), { text: "grüße" });
  const failed = await Promise.all(
    ["fail", "rubbish", "crossed"].map((method) =>
      client.call(createCall(port, { method }))
    ),
  );
  failed.forEach((result) =>
    t.is(result.isErr && result.error.kind, ControlFailureKind.Rejected)
  );
  const { bytesSent, bytesReceived, messagesSent, messagesReceived } = client
    .getTraffic();
  t.true(bytesSent > 100 && bytesReceived > 100);
  t.is(messagesSent, 4);
  t.is(messagesReceived, 4);
});

test("createControlClient() reports a refused connection as a request that was not sent", async (t) => {
  const server = createEchoServer();
  const port = await listen(t, server);
  await new Promise((resolve) => server.close(resolve));
  const client = createControlClient({ clock: systemClock });
  t.teardown(() => client.close());
  const result = await client.call(createCall(port));
  t.is(result.isErr && result.error.kind, ControlFailureKind.ConnectionFailed);
  t.true(result.isErr && result.error.refused);
});

test("createControlClient() fails at the deadline, and a new connection avoids one that stopped responding", async (t) => {
  const sockets: Socket[] = [];
  const server = createServer((request, response) => {
    if (request.socket !== sockets[0]) {
      request.toArray().then((chunks) => {
        const { id } = JSON.parse(Buffer.concat(chunks).toString());
        response.end(JSON.stringify({ jsonrpc: "2.0", id, result: "fresh" }));
      });
    }
  });
  server.on("connection", (socket) => sockets.push(socket));
  const port = await listen(t, server);
  const client = createControlClient({ clock: systemClock });
  t.teardown(() => client.close());
  const silent = await client.call(
    createCall(port, { deadline: Date.now() + 200 }),
  );
  t.is(silent.isErr && silent.error.kind, ControlFailureKind.NoResponse);
  const fresh = await client.call(
    createCall(port, { freshConnection: true }),
  );
  t.is(fresh.unwrapOr(undefined), "fresh");
});
