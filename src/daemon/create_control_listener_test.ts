import test from "ava";
import { request } from "undici";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { DiagnosticError } from "../diagnostics/diagnostic_error.ts";
import type { Log } from "../telemetry/log.ts";
import { createControlListener } from "./create_control_listener.ts";
import { createServedControlTraffic } from "./create_served_control_traffic.ts";
import { openListener } from "./open_listener.ts";
import { refuseInvalidRequest } from "./refuse_invalid_request.ts";

const silentLog: Log = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};

async function sendControlRequest(body: string): Promise<unknown> {
  const opened = await openListener({
    address: { host: "127.0.0.1", port: 0 },
    requestHeaderBytes: 16_384,
    onInvalidRequest: refuseInvalidRequest,
    onRequest: createControlListener({
      calls: (method) => Promise.resolve(`calls ${method}`),
      distribution: (method, parameters) =>
        method === "readManifest"
          ? Promise.reject(
            new DiagnosticError(
              createDiagnostic(DiagnosticCode.ControlMessageInvalid, {
                path: "version",
                found: "7",
                allowed: "a version",
              }),
            ),
          )
          : Promise.resolve({ method, parameters }),
      log: silentLog,
      traffic: createServedControlTraffic(),
      bodyBytesMaximum: 1_000,
    }),
  });
  if (opened.isErr) {
    throw new DiagnosticError(opened.error);
  }
  const { address, destroy } = opened.value;
  const response = await request(
    `http://${address.host}:${address.port}/control`,
    {
      method: "POST",
      body,
    },
  );
  const text = await response.body.text();
  destroy();
  return response.statusCode === 200 ? JSON.parse(text) : response.statusCode;
}

function encode(method: string): string {
  return JSON.stringify({ jsonrpc: "2.0", id: 1, method, params: { a: 1 } });
}

test("createControlListener() routes methods to the calls or the distribution", async (t) => {
  t.deepEqual(await sendControlRequest(encode("settleCall")), {
    jsonrpc: "2.0",
    id: 1,
    result: "calls settleCall",
  });
  t.deepEqual(await sendControlRequest(encode("exchange")), {
    jsonrpc: "2.0",
    id: 1,
    result: { method: "exchange", parameters: { a: 1 } },
  });
});

test("createControlListener() responds to malformed JSON-RPC with an error", async (t) => {
  t.like(await sendControlRequest("{"), { error: { code: -32700 } });
  t.like(await sendControlRequest('{"jsonrpc":"2.0"}'), {
    error: { code: -32600 },
  });
  t.like(await sendControlRequest("null"), { error: { code: -32600 } });
});

test("createControlListener() rejects unknown methods", async (t) => {
  t.like(await sendControlRequest(encode("fly")), { error: { code: -32601 } });
});

test("createControlListener() responds to invalid parameters with the diagnostic", async (t) => {
  t.like(await sendControlRequest(encode("readManifest")), {
    error: {
      code: -32602,
      message:
        'error CQ3001: Control message field "version" is 7, but must be a version',
    },
  });
});

test("createControlListener() refuses a body over the limit", async (t) => {
  t.is(await sendControlRequest(" ".repeat(1_001)), 413);
});
