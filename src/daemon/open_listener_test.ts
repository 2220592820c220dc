import { connect, type Socket } from "node:net";
import { once } from "node:events";
import { nextTick } from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { DiagnosticError } from "../diagnostics/diagnostic_error.ts";
import type { Listener } from "./listener.ts";
import { openListener } from "./open_listener.ts";
import { refuseInvalidRequest } from "./refuse_invalid_request.ts";

const request = "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
const finalResponse =
  "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 7\r\nconnection: close\r\n\r\nnot-run";

async function open(onRequest: () => void): Promise<Listener> {
  const opened = await openListener({
    address: { host: "127.0.0.1", port: 0 },
    requestHeaderBytes: 16_384,
    onInvalidRequest: refuseInvalidRequest,
    onRequest: (_request, response) => {
      onRequest();
      response.end("ran");
    },
  });
  if (opened.isErr) {
    throw new DiagnosticError(opened.error);
  }
  return opened.value;
}

async function openIdleConnection(listener: Listener): Promise<Socket> {
  const socket = connect(listener.address.port, listener.address.host);
  socket.write(request);
  await once(socket, "data");
  return socket;
}

/** Sends a request and resolves with all data received until the connection closes without an error. */
async function sendUntilClosed(
  socket: Socket,
  t: ExecutionContext,
): Promise<string> {
  socket.write(request);
  const received: string[] = [];
  socket.on("data", (data) => received.push(String(data)));
  const [withError] = await once(socket, "close");
  t.false(withError);
  return received.join("");
}

test("a request in transit while its idle connection is closed gets the final response and is not handled", async (t) => {
  let handled = 0;
  const listener = await open(() => {
    handled += 1;
  });
  const socket = await openIdleConnection(listener);
  const closed = listener.close(finalResponse);
  const received = await sendUntilClosed(socket, t);
  t.is(received, finalResponse);
  t.is(handled, 1);
  await closed;
});

test("a listener closes although its clients keep idle connections open", async (t) => {
  const listener = await open(() => {});
  const socket = await openIdleConnection(listener);
  socket.pause();
  await listener.close(finalResponse);
  socket.destroy();
  t.pass();
});

test("a connection opened just before the listener closes gets a response and is not reset", async (t) => {
  const listener = await open(() => {});
  const socket = connect(listener.address.port, listener.address.host);
  // The kernel completes the handshake in this iteration of the event loop; the listener accepts the connection in a later one.
  await new Promise<void>((resolve) => nextTick(resolve));
  const closed = listener.close(finalResponse);
  const received = await sendUntilClosed(socket, t);
  t.regex(received, /^HTTP\/1\.1 (200|503) /);
  await closed;
});

test("empty lines that a client sends without end after a request do not keep its connection", async (t) => {
  const opened = await openListener({
    address: { host: "127.0.0.1", port: 0 },
    requestHeaderBytes: 16_384,
    headerCheckIntervalMilliseconds: 100,
    onInvalidRequest: refuseInvalidRequest,
    onRequest: (_request, response) => response.end("ran"),
  });
  if (opened.isErr) throw new DiagnosticError(opened.error);
  const listener = opened.value;
  listener.setLimits({ headerMilliseconds: 300, idleMilliseconds: 300 });
  const socket = await openIdleConnection(listener);
  socket.on("error", () => undefined);
  const lines = setInterval(() => socket.write("\r\n"), 20);
  const startedAt = performance.now();
  const ended = await Promise.race([
    once(socket, "close").then(() => true),
    delay(3_000, false),
  ]);
  clearInterval(lines);
  t.true(ended);
  t.true(performance.now() - startedAt >= 550);
  listener.destroy();
});

// Guards against a request that runs although its caller is told that it has not.
test("a header that arrives late behind a running request is refused after its answer, and its request does not run", async (t) => {
  const handled: string[] = [];
  const opened = await openListener({
    address: { host: "127.0.0.1", port: 0 },
    requestHeaderBytes: 16_384,
    headerCheckIntervalMilliseconds: 50,
    onInvalidRequest: refuseInvalidRequest,
    onRequest: (request, response) => {
      handled.push(request.url ?? "");
      setTimeout(() => response.end("ran"), 700);
    },
  });
  if (opened.isErr) throw new DiagnosticError(opened.error);
  const listener = opened.value;
  listener.setLimits({ headerMilliseconds: 200, idleMilliseconds: 5_000 });
  const socket = connect(listener.address.port, listener.address.host);
  socket.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /late HTTP/1.1\r\n");
  setTimeout(() => socket.write("Host: a\r\n\r\n"), 500);
  const received: string[] = [];
  socket.on("data", (data) => received.push(String(data)));
  await once(socket, "close");
  t.deepEqual(handled, ["/first"]);
  t.deepEqual(
    Array.from(
      received.join("").matchAll(/HTTP\/1\.1 (\d+)/g),
      ([, status]) => status,
    ),
    ["200", "408"],
  );
  await listener.close(finalResponse);
});
