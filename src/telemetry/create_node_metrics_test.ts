import test from "ava";
import { CallPriority } from "../configuration/call_priority.ts";
import { createNodeMetrics } from "./create_node_metrics.ts";

const gauges = {
  versionNumber: 3,
  ready: true,
  peers: 2,
  limit: 12,
  running: 1,
  queued: 0,
  platformReads: 4,
  controlBytesSent: 5,
  controlBytesReceived: 6,
  controlMessagesSent: 7,
  controlMessagesReceived: 8,
};

test("createNodeMetrics() renders counters, gauges and quantiles", async (t) => {
  const metrics = createNodeMetrics(() => gauges);
  [1, 2, 3].forEach((elapsedMilliseconds) =>
    metrics.observe({
      service: "vitrine",
      priority: CallPriority.Low,
      result: "answered",
      elapsedMilliseconds,
    })
  );
  const text = await metrics.render();
  t.regex(
    text,
    /catkinquay_calls_total\{service="vitrine",priority="low",result="answered"\} 3/,
  );
  t.regex(text, /catkinquay_version_number 3/);
  t.regex(text, /catkinquay_ready 1/);
  t.regex(
    text,
    /catkinquay_call_milliseconds\{service="vitrine",quantile="0.5"\} 2/,
  );
  t.regex(text, /quantile="0.999"\} 3/);
  t.is(metrics.getLatencies()[0]?.count, 3);
});

test("createNodeMetrics() does not record the latency of refused calls", (t) => {
  const metrics = createNodeMetrics(() => gauges);
  metrics.observe({
    service: "vitrine",
    priority: CallPriority.Low,
    result: "full",
    elapsedMilliseconds: 9,
  });
  t.deepEqual(metrics.getLatencies(), []);
});
