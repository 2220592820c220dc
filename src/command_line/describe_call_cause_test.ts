import test from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { describeCallCause } from "./describe_call_cause.ts";
import { OfferCheckKind } from "../offers/offer_check_kind.ts";
import { OfferStatus } from "../offers/offer_status.ts";
import type { LogLine } from "./log_line.ts";

function createLine(
  kind: string,
  details: Readonly<Record<string, unknown>>,
): LogLine {
  return { time: 0, vm: "vm-1", kind, call: "c", details };
}

const lost = (cause?: string) =>
  createLine("offer-lost", {
    backendServer: "i-1",
    reason: "contact-lost",
    ...(cause === undefined ? {} : { cause }),
  });
const refusedUnknown = createLine("call-refused", {
  reason: "contact-lost",
  outcome: "unknown",
  elapsedMilliseconds: 500,
});

[
  {
    cause: "connection-ended",
    text: "the connection to the node beside i-1 ended before its reply",
  },
  {
    cause: "node-unreachable",
    text:
      "the node beside i-1 did not confirm the call and could not be reached",
  },
  {
    cause: "not-received",
    text: "the node beside i-1 stated that the call did not arrive",
  },
  {
    cause: "reply-lost",
    text: "the node beside i-1 had ended the call, but no reply arrived",
  },
  {
    cause: undefined,
    text:
      "contact with the node beside i-1 was lost after the call had been sent",
  },
  {
    cause: "a-later-one",
    text:
      "contact with the node beside i-1 was lost after the call had been sent",
  },
].forEach(({ cause, text }) =>
  test(`an unknown outcome is not explained without why contact was lost: ${cause ?? "no cause"}`, (t) =>
    t.is(
      describeCallCause([lost(cause), refusedUnknown]),
      `refused after 500 ms, outcome unknown, it may have run: ${text}`,
    ))
);

test("the loss that makes an outcome unknown is not hidden by a later refusal", (t) => {
  const end = createLine("call-refused", {
    reason: "retry-budget-spent",
    outcome: "unknown",
    elapsedMilliseconds: 7,
  });
  t.is(
    describeCallCause([lost("reply-lost"), end]),
    "refused after 7 ms, outcome unknown, it may have run: the node beside i-1 had ended the call, but no reply arrived; then the retry budget was spent (retry-budget-spent)",
  );
});

test("a broken answer is not put down to the node or the network", (t) => {
  const broken = createLine("offer-lost", {
    backendServer: "i-1",
    reason: "answer-broken",
    cause: "connection-ended",
  });
  t.regex(
    describeCallCause([broken, refusedUnknown]),
    /: the answer of backend server i-1 was truncated or malformed$/,
  );
});

test("every reason of a refusal is described", (t) => {
  const missing = Object.values(RefusalReason).filter((reason) =>
    !describeCallCause([
      createLine("call-refused", { reason, outcome: "not-run" }),
    ]).endsWith(` (${reason})`)
  );
  t.deepEqual(missing, []);
});

test("a reason that is not known is shown as it is", (t) =>
  t.is(
    describeCallCause([
      createLine("call-refused", { reason: "new-one", outcome: "not-run" }),
    ]),
    "refused, not run: new-one",
  ));

test("a late answer is not explained without its wait and its time at the backend server", (t) =>
  t.is(
    describeCallCause([
      createLine("call-queued", {}),
      createLine("call-exchanged", {
        outcome: "answered",
        waitedMilliseconds: 90,
        elapsedMilliseconds: 10,
      }),
      createLine("call-answered", {
        status: 200,
        backendServer: "i-1",
        elapsedMilliseconds: 104,
      }),
    ]),
    "answered with status 200 by i-1 after 104 ms; on vm-1 it waited 90 ms for a slot and took 10 ms at the backend server (answered)",
  ));

test("an exchange that was cancelled is not shown as a fault of the backend server", (t) =>
  t.is(
    describeCallCause([
      createLine("call-abandoned", { elapsedMilliseconds: 300 }),
      createLine("call-exchanged", {
        outcome: "broken",
        waitedMilliseconds: 0,
        elapsedMilliseconds: 290,
        cancelled: true,
      }),
    ]),
    "the caller left after 300 ms without an answer; on vm-1 it waited 0 ms for a slot and took 290 ms at the backend server (cancelled)",
  ));

test("the last check of an offer that was not confirmed is shown if the caller left", (t) =>
  [
    ...Object.values(OfferStatus),
    ...Object.values(OfferCheckKind),
    "other",
  ].forEach(
    (outcome) =>
      t.regex(
        describeCallCause([
          createLine("offer-checked", { backendServer: "i-1", outcome }),
          createLine("call-abandoned", { elapsedMilliseconds: 300 }),
        ]),
        /without an answer; the node beside i-1 [a-z: ]+/,
      ),
  ));

test("a call without a line on its end is not shown as ended", (t) =>
  t.is(
    describeCallCause([createLine("call-queued", {})]),
    "unknown, no log line has the end of the call; it waited for a slot on vm-1",
  ));

test("a refusal whose outcome was not logged is not shown as not run", (t) =>
  t.is(
    describeCallCause([createLine("call-refused", { reason: "new-one" })]),
    "refused, outcome not logged: new-one",
  ));

test("the message of an unexpected error is not hidden by the refusal that follows it", (t) =>
  t.regex(
    describeCallCause([
      createLine("call-internal-error", { reason: "x is undefined" }),
      createLine("call-refused", {
        reason: "internal-error",
        outcome: "unknown",
      }),
    ]),
    /may have run: .*; an unexpected error ended the call on vm-1: x is undefined$/,
  ));

test("an unexpected error is shown with the VM on which it occurred", (t) =>
  t.is(
    describeCallCause([
      createLine("call-internal-error", { reason: "x is undefined" }),
    ]),
    "an unexpected error ended the call on vm-1: x is undefined",
  ));

[
  {
    reason: RefusalReason.QuotaExceeded,
    text: "the organisation had used up its quota over all nodes",
  },
  {
    reason: RefusalReason.QuotaUnconfirmed,
    text:
      "the owner of the organisation's quota could not be reached, and its deputy had no token left",
  },
].forEach(({ reason, text }) =>
  test(`a refusal for a quota names the organisation: ${reason}`, (t) =>
    t.is(
      describeCallCause([
        createLine("call-refused", {
          reason,
          organisation: "bakery",
          outcome: "not-run",
          elapsedMilliseconds: 3,
        }),
      ]),
      `refused after 3 ms, not run: ${text} (${reason}); the quota is that of "bakery"`,
    ))
);

[
  {
    reason: RefusalReason.ApiKeyMissing,
    text: "the request had no API key, which its route requires",
  },
  {
    reason: RefusalReason.ApiKeyUnknown,
    text: "no organisation of the rules in force held its API key",
  },
  {
    reason: RefusalReason.ApiKeysUnconfirmed,
    text: "the node's rules might be too old to decide on API keys",
  },
].forEach(({ reason, text }) =>
  test(`a refusal for a key is not left unexplained: ${reason}`, (t) =>
    t.is(
      describeCallCause([
        createLine("call-refused", {
          reason,
          outcome: "not-run",
          elapsedMilliseconds: 1,
        }),
      ]),
      `refused after 1 ms, not run: ${text} (${reason})`,
    ))
);
test("a call refused without an offer is explained by what was known of its service", (t) =>
  t.is(
    describeCallCause([
      createLine("refused-without-offer", {
        service: "tracker",
        reason: "cold-start",
        waitMilliseconds: 180,
      }),
      createLine("call-refused", {
        reason: "cold-start",
        outcome: "not-run",
        elapsedMilliseconds: 1,
      }),
    ]).split("; ").at(-1),
    "not offered, tracker was known to be full (cold-start, shortest wait 180 ms)",
  ));
