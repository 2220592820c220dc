import test from "ava";
import { recordLoopCheck } from "../runtime/record_loop_check.ts";
import { createLoopLagReport } from "./create_loop_lag_report.ts";
import { maintenanceIntervalMilliseconds } from "./maintenance_interval_milliseconds.ts";

test("a late check of the event loop is in the log with its turns, and checks in time write nothing", (t) => {
  const lag = { checkedAt: 0, behindUntil: 0 };
  const counts = [
    { turns: 10, events: 20 },
    { turns: 30, events: 60 },
    { turns: 32, events: 360 },
    { turns: 50, events: 400 },
  ];
  const lines: unknown[] = [];
  const reportLoopLag = createLoopLagReport({
    state: (subject, fields) => lines.push({ subject, ...fields }),
  }, { lag, readCounts: () => counts.shift()! });
  [100, 500, 600].forEach((now) => {
    reportLoopLag(now);
    recordLoopCheck(lag, {
      intervalMilliseconds: maintenanceIntervalMilliseconds,
      now,
    });
  });
  t.deepEqual(lines, [{
    subject: "event-loop",
    state: "behind",
    lateMilliseconds: 300,
    turns: 2,
    events: 300,
  }]);
});
