import test from "ava";
import { request as createRequest } from "node:http";
import { Pool } from "undici";
import { callNode } from "../../testing/calls/call_node.ts";
import { countRuns } from "../../testing/calls/count_runs.ts";
import { useCallsBench } from "../../testing/calls/use_calls_bench.ts";
import { waitUntil } from "../../testing/calls/wait_until.ts";

const deadlineMilliseconds = 30_000;
const longBytes = 2 * 64 * 1024 + "the end".length;

test("[point 10: long answers] [point 10: peers still sending] a draining node finishes long answers, and calls from its peers run elsewhere", async (t) => {
  const bench = await useCallsBench(t, 3, {
    deadlineMilliseconds,
    retryBudgetPercent: 200,
  });
  const [forwarding, draining] = bench.nodes;
  const running = Array.from(
    { length: 12 },
    () => callNode(forwarding!, "/encomendas/long-slow"),
  );
  t.true(await waitUntil(() => countRuns(bench.nodes) === 12));
  t.true(draining!.backendServer.runs.length > 0);

  const runningAfterDrain = draining!.runtime.drain().then(() =>
    draining!.admission.getRunning()
  );
  const before = draining!.backendServer.runs.length;
  const later = await Promise.all(
    Array.from(
      { length: 24 },
      (_, index) =>
        callNode(forwarding!, "/encomendas/x", {
          method: "POST",
          body: `${index}`,
        }),
    ),
  );
  later.forEach((answer, index) => t.is(answer.body, `POST ${index}`));
  t.is(draining!.backendServer.runs.length, before);
  (await Promise.all(running)).forEach((answer) => {
    t.is(answer.status, 200);
    t.is(answer.body.length, longBytes);
  });
  t.is(await runningAfterDrain, 0);
  t.is(await draining!.runtime.stop(), 0);
});

test("[point 10: keep-alive connections] an answer that is sent while the node drains closes its keep-alive connection", async (t) => {
  const bench = await useCallsBench(t, 1, { deadlineMilliseconds });
  const node = bench.nodes[0]!;
  const { host, port } = node.callers;
  const caller = new Pool(`http://${host}:${port}`, { connections: 1 });
  t.teardown(() => caller.close());
  const sendCall = async (path: string) => {
    const answer = await caller.request({ method: "GET", path });
    await answer.body.text();
    return { status: answer.statusCode, connection: answer.headers.connection };
  };
  t.deepEqual(await sendCall("/encomendas/x"), {
    status: 200,
    connection: "keep-alive",
  });
  const running = sendCall("/encomendas/slow");
  t.true(await waitUntil(() => countRuns(bench.nodes) === 2));
  const drained = node.runtime.drain();
  t.deepEqual(await running, { status: 200, connection: "close" });
  await drained;
  t.deepEqual(await sendCall("/encomendas/x"), {
    status: 503,
    connection: "close",
  });
});

test("an incomplete request is refused at its deadline, and when its node drains", async (t) => {
  const bench = await useCallsBench(t, 1, { deadlineMilliseconds });
  const node = bench.nodes[0]!;
  const upload = (headers: Record<string, string>) => {
    const { host, port } = node.callers;
    const request = createRequest({
      host,
      port,
      method: "POST",
      path: "/encomendas/x",
      headers: { "content-length": "10", ...headers },
    });
    request.on("error", () => undefined);
    request.write("half");
    return new Promise<number | undefined>((resolve) => {
      request.on("response", (response) => {
        response.resume();
        resolve(response.statusCode);
      });
    });
  };
  const late = upload({ "request-deadline": String(Date.now() + 1000) });
  t.is(await late, 504);
  const incomplete = upload({});
  t.true(await waitUntil(() => node.runtime.getStatus().running === 1));
  await node.runtime.drain();
  t.is(await incomplete, 503);
  t.is(countRuns(bench.nodes), 0);
});
