import test from "ava";
import { closePipeline } from "./close_pipeline.ts";
import { createPipeline } from "./create_pipeline.ts";
import { leavePipeline } from "./leave_pipeline.ts";
import type { Pipeline } from "./pipeline.ts";
import type { PipelinedRequest } from "./pipelined_request.ts";
import { tryJoinPipeline } from "./try_join_pipeline.ts";

/** The most requests of one connection that may be in work at once. */
const begunMaximum = 8;

/** Joins requests that add their number to `begun` and `cancelled`. */
function joinRequests(pipeline: Pipeline, count: number) {
  const begun: number[] = [];
  const cancelled: number[] = [];
  const requests = Array.from(
    { length: count },
    (_, index): PipelinedRequest => ({
      begin: () => void begun.push(index),
      cancel: () => void cancelled.push(index),
    }),
  );
  const joined = requests.filter((request) =>
    tryJoinPipeline(pipeline, request)
  );
  return { begun, cancelled, requests, joined };
}

// One connection must not occupy the slots of all other callers.
test("a caller that sends 50 requests at once has a bounded number in work, and each is begun in its turn", (t) => {
  const pipeline = createPipeline();
  const { begun, requests } = joinRequests(pipeline, 50);
  t.is(begun.length, begunMaximum);
  requests.forEach((request, index) => {
    leavePipeline(pipeline, request);
    t.true(begun.length - (index + 1) <= begunMaximum);
  });
  t.deepEqual(begun, Array.from({ length: 50 }, (_, index) => index));
});

// A request that runs although its answer cannot be sent is work for nothing.
test("behind a response that ends the connection none is begun, and work that was begun is cancelled", (t) => {
  const pipeline = createPipeline();
  const { begun, cancelled, requests } = joinRequests(pipeline, 20);
  closePipeline(pipeline, { behind: requests[2] });
  t.deepEqual(cancelled, [3, 4, 5, 6, 7]);
  requests.slice(0, 3).forEach((request) => leavePipeline(pipeline, request));
  const later = joinRequests(pipeline, 3);
  t.is(begun.length, begunMaximum);
  t.deepEqual(later.begun, []);
});

test("a caller that leaves cancels all of its requests once", (t) => {
  const pipeline = createPipeline();
  const { cancelled, requests } = joinRequests(pipeline, 12);
  closePipeline(pipeline, { behind: undefined });
  closePipeline(pipeline, { behind: undefined });
  requests.forEach((request) => leavePipeline(pipeline, request));
  t.deepEqual(cancelled, [0, 1, 2, 3, 4, 5, 6, 7]);
  t.is(pipeline.begun.size, 0);
});

// A caller that sends without reading answers must not fill the memory.
test("a caller that sends 10,000 requests at once has a bounded number waiting, and later ones join again", (t) => {
  const pipeline = createPipeline();
  const { joined } = joinRequests(pipeline, 10_000);
  t.true(joined.length < 100);
  t.is(pipeline.begun.size + pipeline.waiting.length, joined.length);
  leavePipeline(pipeline, joined[0]!);
  t.is(joinRequests(pipeline, 2).joined.length, 1);
});

// A cancelled answer breaks off, which must not cancel the requests before it.
test("closing behind a request that was cancelled itself cancels no other", (t) => {
  const pipeline = createPipeline();
  const { cancelled, requests } = joinRequests(pipeline, 4);
  closePipeline(pipeline, { behind: requests[1] });
  closePipeline(pipeline, { behind: requests[2] });
  t.deepEqual(cancelled, [2, 3]);
  t.is(pipeline.begun.size, 2);
});
