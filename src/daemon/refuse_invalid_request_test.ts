import { connect } from "node:net";
import { text } from "node:stream/consumers";
import test from "ava";
import type { ListenerLimits } from "./listener_limits.ts";
import { openListener } from "./open_listener.ts";
import { refuseInvalidRequest } from "./refuse_invalid_request.ts";

async function sendBytes(
  bytes: string,
  limits?: ListenerLimits,
): Promise<string> {
  const opened = await openListener({
    address: { host: "127.0.0.1", port: 0 },
    requestHeaderBytes: 1_024,
    headerCheckIntervalMilliseconds: 100,
    onInvalidRequest: refuseInvalidRequest,
    onRequest: (_request, response) => response.end("answered"),
  });
  if (opened.isErr) {
    return "";
  }
  if (limits !== undefined) opened.value.setLimits(limits);
  const socket = connect(opened.value.address.port, opened.value.address.host);
  socket.write(bytes);
  const response = await text(socket);
  opened.value.destroy();
  return response;
}

test("a request header over the limit is refused as not run", async (t) => {
  const response = await sendBytes(
    `GET / HTTP/1.1\r\nHost: a\r\nX-Long: ${"x".repeat(2_000)}\r\n\r\n`,
  );
  t.regex(response, /^HTTP\/1\.1 431 /);
  t.regex(response, /"outcome":"not-run"/);
});

test("a request that is not HTTP is refused", async (t) => {
  t.regex(await sendBytes("rubbish\r\n\r\n"), /^HTTP\/1\.1 400 /);
});

test("a request header that does not arrive in time is refused as not run", async (t) => {
  const response = await sendBytes("GET / HTTP/1.1\r\nHost: a\r\n", {
    headerMilliseconds: 200,
    idleMilliseconds: 5_000,
  });
  t.regex(response, /^HTTP\/1\.1 408 /);
  t.regex(response, /"outcome":"not-run"/);
});

test("a connection that exceeds the idle timeout is closed", async (t) => {
  const startedAt = performance.now();
  const response = await sendBytes("GET / HTTP/1.1\r\nHost: a\r\n\r\n", {
    headerMilliseconds: 1_000,
    idleMilliseconds: 300,
  });
  t.regex(response, /answered/);
  t.true(performance.now() - startedAt < 3_000);
});
