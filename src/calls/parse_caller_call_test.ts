import test from "ava";
import { createSampleSnapshot } from "../testing/calls/create_sample_snapshot.ts";
import { parseCallerCall } from "./parse_caller_call.ts";

const now = 1_000_000;

function parse(
  target: string,
  headers: Record<string, string> = {},
  method = "POST",
) {
  const rawHeaders = Object.entries(headers).flat();
  return parseCallerCall(
    { method, target, headers, rawHeaders },
    createSampleSnapshot(["/encomendas", "/vitrine/"]),
    { now, clockSkewMilliseconds: 10 },
  );
}

test("parseCallerCall() refuses invalid requests with the expected reason and detail", (t) => {
  const cases: [string, Record<string, string>][] = [
    ["/encomendas/1", {}],
    ["/encomendasx", {}],
    ["/vitrine/a?b=/encomendas", {}],
    ["http://host/encomendas", {}],
    ["/encomendas", { "request-deadline": "soon" }],
    ["/encomendas", { "request-deadline": "1000000" }],
    ["/encomendas", { "idempotency-key": "a b" }],
    ["/encomendas", { "idempotency-attempt": "0" }],
    ["/encomendas", { "idempotency-first-attempt": "1000011" }],
  ];
  t.deepEqual(
    cases.map(([target, headers]) =>
      parse(target, headers).match({
        Ok: ({ route }) => route.pathPrefix,
        Err: ({ reason, detail }) => `${reason}: ${detail}`,
      })
    ),
    [
      "/encomendas",
      "no-route: No route of the configuration in force fits the request",
      "/vitrine/",
      'request-invalid: The request target must be a path that begins with "/"',
      'request-invalid: Header "request-deadline" is "soon", but must be an instant in whole milliseconds since the Unix epoch',
      "deadline-passed: The deadline of the request has passed",
      'request-invalid: Header "idempotency-key" is "a b", but must be 1 to 128 visible ASCII characters',
      'request-invalid: Header "idempotency-attempt" is "0", but must be a whole number of at least 1',
      'request-invalid: Header "idempotency-first-attempt" is 1000011, but must be an instant that is not in the future (now 1000000)',
    ],
  );
});

test("parseCallerCall() limits the deadline, dates a first attempt and drops hop-by-hop headers and headers of the mesh", (t) => {
  const call = parse("/encomendas", {
    "request-deadline": "9999999",
    "idempotency-key": "order-7",
    "idempotency-attempt": "1",
    "connection": "close, X-Hop",
    "x-hop": "1",
    "catkinquay-outcome": "not-run",
    "x-kept": "2",
  }).unwrapOr(undefined);
  t.is(call?.deadline, now + 4000);
  t.is(call?.key?.firstAttemptAt, now);
  t.deepEqual(call?.headers.slice(-2), ["x-kept", "2"]);
  t.is(call?.headers.length, 8);
});
