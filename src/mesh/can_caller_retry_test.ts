import test from "ava";
import { createSampleRoute } from "../testing/mesh/create_sample_route.ts";
import { canCallerRetry } from "./can_caller_retry.ts";

const route = createSampleRoute();

test("a call of a backend server, whose time ends with the route's timeout, cannot be retried", (t) => {
  t.false(canCallerRetry(route, { longestMilliseconds: 400 }));
  const shortened = { ...route, timeoutMilliseconds: 369 };
  t.false(canCallerRetry(shortened, { longestMilliseconds: 399 }));
});

test("a caller that waits longer than the route's timeout can retry, also when little of its time is left", (t) => {
  t.true(canCallerRetry(route, { longestMilliseconds: 2_500 }));
  t.true(
    canCallerRetry(route, { longestMilliseconds: Number.POSITIVE_INFINITY }),
  );
});
