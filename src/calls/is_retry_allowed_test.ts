import test from "ava";
import { CallPriority } from "../configuration/call_priority.ts";
import { isRetryAllowed } from "./is_retry_allowed.ts";

test("isRetryAllowed() allows only calls of high priority to be retried with an empty budget", (t) => {
  const allowed = [0, 0.9, 1].map((tokens) =>
    [CallPriority.High, CallPriority.Normal, CallPriority.Low].map((priority) =>
      isRetryAllowed({ tokens }, priority)
    )
  );
  t.deepEqual(allowed, [
    [true, false, false],
    [true, false, false],
    [true, true, true],
  ]);
});
