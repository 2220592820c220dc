import test from "ava";
import { createLogRateLimiter } from "./create_log_rate_limiter.ts";

test("a burst of lines is limited in each second, and dropped lines are reported", (t) => {
  const reportedDrops: number[] = [];
  const limiter = createLogRateLimiter((dropped) =>
    reportedDrops.push(dropped)
  );
  const written = Array.from(
    { length: 1_000 },
    (_, index) => limiter.tryAcquire(1_000_000 + index / 2),
  ).filter((isWritten) => isWritten).length;
  t.true(written > 0 && written < 100);
  t.true(limiter.tryAcquire(1_001_000));
  t.deepEqual(reportedDrops, [1_000 - written]);
});

test("dropped lines are reported without a later line, once their second is over", (t) => {
  const reportedDrops: number[] = [];
  const limiter = createLogRateLimiter((dropped) =>
    reportedDrops.push(dropped)
  );
  const written = Array.from(
    { length: 1_000 },
    () => limiter.tryAcquire(1_000_000),
  ).filter((isWritten) => isWritten).length;
  limiter.reportDropped(1_000_999);
  t.deepEqual(reportedDrops, []);
  limiter.reportDropped(1_001_000);
  limiter.reportDropped(Infinity);
  t.deepEqual(reportedDrops, [1_000 - written]);
});
