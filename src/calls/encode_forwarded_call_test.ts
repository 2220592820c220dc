import test from "ava";
import { CallPriority } from "../configuration/call_priority.ts";
import { decodeForwardedCall } from "./decode_forwarded_call.ts";
import { encodeForwardedCall } from "./encode_forwarded_call.ts";
import type { ForwardedCall } from "./forwarded_call.ts";

const call: ForwardedCall = {
  callIdentifier: "vm-1-a-b-1",
  attempt: 2,
  backendServer: "encomendas-1",
  method: "PUT",
  path: "/encomendas/ç?a=b",
  headers: ["host", "loja.example", "x-a", "1", "x-a", "2"],
  body: new Uint8Array([1, 2]),
  deadline: 1_796_336_631_812,
  priority: CallPriority.Low,
  idempotent: false,
  key: { value: "order-7", callerAttempt: 3, firstAttemptAt: undefined },
};

test("decodeForwardedCall() restores an encoded call, and names a missing header", (t) => {
  const rawHeaders = [...encodeForwardedCall(call), "connection", "keep-alive"];
  const headers = Object.fromEntries(
    rawHeaders.flatMap((name, index) =>
      index % 2 === 0 ? [[name, rawHeaders[index + 1]!]] : []
    ),
  );
  const decode = (given: Record<string, string>) =>
    decodeForwardedCall({ headers: given, rawHeaders, body: call.body });
  t.deepEqual(decode(headers).unwrapOr(undefined), call);
  const { "catkinquay-deadline": _, ...incomplete } = headers;
  const failure = decode(incomplete);
  t.is(failure.isErr && failure.error.path, "catkinquay-deadline");
});
