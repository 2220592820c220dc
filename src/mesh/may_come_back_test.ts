import test from "ava";
import { CallKind } from "../routing/call_kind.ts";
import type { CallRoute } from "../routing/call_route.ts";
import { mayComeBack } from "./may_come_back.ts";

const route: CallRoute = {
  name: "slots",
  host: "shop.example",
  pathPrefix: "/",
  kind: CallKind.Idempotent,
  attemptsMaximum: 2,
  timeoutMilliseconds: 400,
  goalMilliseconds: 120,
  priority: 1,
  targets: [],
};

test("a call of a backend server, whose time ends with the timeout, is not made again", (t) => {
  t.false(mayComeBack(route, { longestMilliseconds: 400 }));
  const shortened = { ...route, timeoutMilliseconds: 369 };
  t.false(mayComeBack(shortened, { longestMilliseconds: 399 }));
});

test("a caller that waits longer than the timeout tries again, also when little of its time is left", (t) => {
  t.true(mayComeBack(route, { longestMilliseconds: 2_500 }));
  t.true(mayComeBack(route, { longestMilliseconds: Number.POSITIVE_INFINITY }));
});
