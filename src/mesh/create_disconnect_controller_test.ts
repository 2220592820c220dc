import test from "ava";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { connect, type Socket } from "node:net";
import type { CallController } from "./call_controller.ts";
import { createDisconnectController } from "./create_disconnect_controller.ts";

interface Exchange {
  readonly controller: CallController;
  readonly response: ServerResponse;
  readonly client: Socket;
  readonly server: Server;
}

/** Sends a request to a new server and resolves once the server has read it. */
async function startExchange(): Promise<Exchange> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = server.address();
  const port = typeof address === "object" && address !== null
    ? address.port
    : 0;
  const client = connect(port, "127.0.0.1");
  client.on("error", () => undefined);
  client.resume();
  client.write("GET /cakes/1 HTTP/1.1\r\nhost: shop.example\r\n\r\n");
  const [request, response] = await once(server, "request") as [
    IncomingMessage,
    ServerResponse,
  ];
  request.resume();
  const controller = createDisconnectController(request, response);
  return { controller, response, client, server };
}

function waitForAbort({ signal }: CallController): Promise<void> {
  return new Promise((resolve) =>
    signal.addEventListener("abort", resolve, { once: true })
  );
}

test("caller that leaves while the event loop is slow: the abort does not wait until the connection is shut down", async (t) => {
  const { controller, response, client, server } = await startExchange();
  client.end();
  await waitForAbort(controller);
  t.false(response.closed);
  server.closeAllConnections();
  server.close();
});

test("a reset connection aborts", async (t) => {
  const { controller, client, server } = await startExchange();
  client.resetAndDestroy();
  await waitForAbort(controller);
  t.true(controller.signal.aborted);
  server.close();
});

test("a complete response does not abort, and leaves no listener on the connection", async (t) => {
  const { controller, response, client, server } = await startExchange();
  const { socket } = response;
  const listenersDuring = socket?.listenerCount("end") ?? 0;
  response.end("answer");
  await once(response, "close");
  t.false(controller.signal.aborted);
  t.is(socket?.listenerCount("end"), listenersDuring - 1);
  client.destroy();
  server.closeAllConnections();
  server.close();
});
