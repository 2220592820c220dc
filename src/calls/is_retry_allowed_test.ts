import test from "ava";
import { CallPriority } from "../configuration/call_priority.ts";
import { isRetryAllowed } from "./is_retry_allowed.ts";

test("isRetryAllowed() lets calls of high priority try again with an empty budget, and no others", (t) => {
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
