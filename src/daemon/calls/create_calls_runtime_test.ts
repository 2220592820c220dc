import test from "ava";
import { DispatchResult } from "../../admission/dispatch_result.ts";
import { callNode } from "../../testing/calls/call_node.ts";
import { countRuns } from "../../testing/calls/count_runs.ts";
import { getRefusal } from "../../testing/calls/get_refusal.ts";
import { useCallsBench } from "../../testing/calls/use_calls_bench.ts";
import { waitUntil } from "../../testing/calls/wait_until.ts";

test("calls reach backend servers in process and through another node, and their answers are returned", async (t) => {
  const bench = await useCallsBench(t, 2);
  const answers = await Promise.all(
    Array.from(
      { length: 20 },
      (_, index) =>
        callNode(bench.nodes[0]!, `/encomendas/pedido?n=${index}`, {
          method: "POST",
          body: `bolo ${index}`,
          headers: { "catkinquay-outcome": "forged" },
        }),
    ),
  );
  answers.forEach((answer, index) => {
    t.is(answer.status, 200);
    t.is(answer.body, `POST bolo ${index}`);
    t.is(answer.headers["x-seen-path"], `/encomendas/pedido?n=${index}`);
    t.deepEqual(answer.headers["set-cookie"], ["a=1", "b=2"]);
    t.is(answer.headers["catkinquay-outcome"], undefined);
  });
  t.true(bench.nodes.every((node) => node.backendServer.runs.length > 0));
  t.is(countRuns(bench.nodes), 20);
  t.is(bench.nodes[0]!.runtime.getStatus().answeredWhole, 20);
  bench.nodes.forEach((node) => {
    t.is(node.admission.getRunning(), 0);
    t.true(
      node.admission.reports.every(({ result }) =>
        result === DispatchResult.Answered
      ),
    );
    node.backendServer.runs.forEach((run) => {
      t.truthy(run.headers["catkinquay-call-identifier"]);
      t.true(Number(run.headers["catkinquay-deadline"]) > Date.now());
    });
  });
});

test("HEAD keeps the length that the backend server declares", async (t) => {
  const bench = await useCallsBench(t, 2);
  const answers = await Promise.all(
    Array.from(
      { length: 6 },
      () => callNode(bench.nodes[0]!, "/encomendas/pedido", { method: "HEAD" }),
    ),
  );
  answers.forEach((answer) => t.is(answer.status, 200));
  t.is(countRuns(bench.nodes), 6);
});

test("[point 6: answer rubbish] [point 6: answer cut] a truncated, malformed, unframed or mismatched answer is refused with an unknown outcome", async (t) => {
  const bench = await useCallsBench(t, 2);
  const names = ["cut", "rubbish", "unframed", "crossed"];
  const answers = await Promise.all(
    names.map((name) =>
      callNode(bench.nodes[0]!, `/encomendas/${name}`, { method: "POST" })
    ),
  );
  answers.forEach((answer) =>
    t.deepEqual(getRefusal(answer), {
      outcome: "unknown",
      reason: "answer-broken",
      status: 502,
    })
  );
  t.is(countRuns(bench.nodes), names.length);
});

test("a shed call is refused as not run after an attempt at each backend server", async (t) => {
  const bench = await useCallsBench(t, 3);
  const answer = await callNode(bench.nodes[0]!, "/encomendas/shed", {
    method: "POST",
  });
  t.deepEqual(getRefusal(answer), {
    outcome: "not-run",
    reason: "full",
    status: 503,
  });
  t.is(answer.headers["catkinquay-outcome"], "not-run");
  t.truthy(answer.headers["retry-after"]);
  t.is(countRuns(bench.nodes), 0);
  t.deepEqual(
    bench.nodes.map((node) => node.admission.reports.length),
    [1, 1, 1],
  );
});

test("a caller that closes its connection cancels the call at the backend server", async (t) => {
  const bench = await useCallsBench(t, 2);
  const leaving = new AbortController();
  const calls = Array.from(
    { length: 6 },
    () =>
      callNode(bench.nodes[0]!, "/encomendas/silence", {
        signal: leaving.signal,
      }),
  );
  t.true(await waitUntil(() => countRuns(bench.nodes) === 6));
  t.true(bench.nodes.every((node) => node.backendServer.runs.length > 0));
  leaving.abort();
  await Promise.allSettled(calls);
  const isCancelled = () =>
    bench.nodes.every((node) =>
      node.backendServer.getCancelled() === node.backendServer.runs.length &&
      node.admission.getRunning() === 0
    );
  t.true(await waitUntil(isCancelled));
  t.is(bench.nodes[0]!.runtime.getStatus().abandoned, 6);
});

test("a call without an answer is refused at its deadline", async (t) => {
  const bench = await useCallsBench(t, 2, { deadlineMilliseconds: 2000 });
  const answer = await callNode(bench.nodes[0]!, "/encomendas/silence", {
    method: "POST",
  });
  t.deepEqual(getRefusal(answer), {
    outcome: "unknown",
    reason: "deadline-passed",
    status: 504,
  });
  t.is(countRuns(bench.nodes), 1);
});

test("a long answer is streamed, and the caller's connection is closed if the answer is truncated", async (t) => {
  const bench = await useCallsBench(t, 2);
  const answers = await Promise.all(
    Array.from(
      { length: 4 },
      () => callNode(bench.nodes[0]!, "/encomendas/long"),
    ),
  );
  answers.forEach((answer) => t.is(answer.body.length, 2 * 64 * 1024));
  const cut = await Promise.allSettled(
    Array.from(
      { length: 4 },
      () => callNode(bench.nodes[0]!, "/encomendas/long-cut"),
    ),
  );
  cut.forEach(({ status }) => t.is(status, "rejected"));
});

test("calls with the same key run once, whichever node receives them", async (t) => {
  const bench = await useCallsBench(t, 3);
  const callWith = (index: number, headers: Record<string, string>) =>
    callNode(bench.nodes[index]!, "/encomendas/checkout", {
      method: "POST",
      body: "one cake",
      headers: { "idempotency-key": "order-7", ...headers },
    });
  const first = String(Date.now());
  const answers = [
    await callWith(0, { "idempotency-attempt": "1" }),
    await callWith(1, {
      "idempotency-attempt": "2",
      "idempotency-first-attempt": first,
    }),
    await callWith(2, { "idempotency-first-attempt": first }),
  ];
  answers.forEach((answer) => t.is(answer.body, "POST one cake"));
  t.is(countRuns(bench.nodes), 1);

  const other = await callNode(bench.nodes[1]!, "/encomendas/checkout", {
    method: "POST",
    body: "two cakes",
    headers: { "idempotency-key": "order-7" },
  });
  t.is(getRefusal(other).reason, "key-mismatch");
  t.is(countRuns(bench.nodes), 1);
});

test("repeats of a running call get its answer, whichever node receives them", async (t) => {
  const bench = await useCallsBench(t, 3);
  const first = String(Date.now());
  const answers = await Promise.all(
    bench.nodes.map((node, index) =>
      callNode(node, "/encomendas/slow", {
        method: "POST",
        headers: {
          "idempotency-key": "order-8",
          "idempotency-attempt": String(index + 1),
          "idempotency-first-attempt": first,
        },
      })
    ),
  );
  answers.forEach((answer) => t.is(answer.body, "slow answer"));
  t.is(countRuns(bench.nodes), 1);
});

test("an invalid request is refused as not run", async (t) => {
  const bench = await useCallsBench(t, 1);
  const node = bench.nodes[0]!;
  const past = { "request-deadline": String(Date.now() - 1) };
  const cases = [
    [await callNode(node, "/unknown"), 404, "no-route"],
    [
      await callNode(node, "/encomendas/x", { headers: past }),
      504,
      "deadline-passed",
    ],
    [
      await callNode(node, "/encomendas/x", {
        headers: { "request-deadline": "soon" },
      }),
      400,
      "request-invalid",
    ],
    [
      await callNode(node, "/encomendas/x", {
        method: "POST",
        body: "x".repeat(10_001),
      }),
      413,
      "request-too-large",
    ],
  ] as const;
  cases.forEach(([answer, status, reason]) => {
    t.is(answer.status, status);
    t.deepEqual(getRefusal(answer), { outcome: "not-run", reason, status });
  });
  t.is(countRuns(bench.nodes), 0);
});

test("drain() lets running calls finish and refuses new ones; stop() counts the calls that it aborts", async (t) => {
  const bench = await useCallsBench(t, 1);
  const node = bench.nodes[0]!;
  const running = callNode(node, "/encomendas/slow");
  t.true(await waitUntil(() => countRuns(bench.nodes) === 1));
  const drained = node.runtime.drain();
  const refused = await callNode(node, "/encomendas/x");
  t.is(getRefusal(refused).reason, "node-draining");
  t.is(refused.headers["connection"], "close");
  t.is((await running).body, "slow answer");
  await drained;
  t.is(await node.runtime.stop(), 0);
});
