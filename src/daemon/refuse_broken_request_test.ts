import { connect } from "node:net";
import { text } from "node:stream/consumers";
import test from "ava";
import type { ListenerLimits } from "./listener_limits.ts";
import { openListener } from "./open_listener.ts";
import { refuseBrokenRequest } from "./refuse_broken_request.ts";

async function exchangeBytes(
  bytes: string,
  limits?: ListenerLimits,
): Promise<string> {
  const opened = await openListener({
    address: { host: "127.0.0.1", port: 0 },
    requestHeaderBytes: 1_024,
    headCheckMilliseconds: 100,
    onBrokenRequest: refuseBrokenRequest,
    onRequest: (_request, response) => response.end("answered"),
  });
  if (opened.isErr) {
    return "";
  }
  if (limits !== undefined) opened.value.setLimits(limits);
  const socket = connect(opened.value.address.port, opened.value.address.host);
  socket.write(bytes);
  const answer = await text(socket);
  opened.value.destroy();
  return answer;
}

test("refuseBrokenRequest() refuses a header over the limit as not run", async (t) => {
  const answer = await exchangeBytes(
    `GET / HTTP/1.1\r\nHost: a\r\nX-Long: ${"x".repeat(2_000)}\r\n\r\n`,
  );
  t.regex(answer, /^HTTP\/1\.1 431 /);
  t.regex(answer, /"outcome":"not-run"/);
});

test("refuseBrokenRequest() refuses bytes that are not HTTP", async (t) => {
  t.regex(await exchangeBytes("rubbish\r\n\r\n"), /^HTTP\/1\.1 400 /);
});

test("refuseBrokenRequest() refuses a header that does not arrive in time as not run", async (t) => {
  const answer = await exchangeBytes("GET / HTTP/1.1\r\nHost: a\r\n", {
    headerMilliseconds: 200,
    idleMilliseconds: 5_000,
  });
  t.regex(answer, /^HTTP\/1\.1 408 /);
  t.regex(answer, /"outcome":"not-run"/);
});

test("a connection that stays idle beyond the limit is closed", async (t) => {
  const startedAt = performance.now();
  const answer = await exchangeBytes("GET / HTTP/1.1\r\nHost: a\r\n\r\n", {
    headerMilliseconds: 1_000,
    idleMilliseconds: 300,
  });
  t.regex(answer, /answered/);
  t.true(performance.now() - startedAt < 3_000);
});
