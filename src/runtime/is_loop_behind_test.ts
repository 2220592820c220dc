import test from "ava";
import { isLoopBehind } from "./is_loop_behind.ts";
import type { LoopLag } from "./loop_lag.ts";
import { recordLoopCheck } from "./record_loop_check.ts";

const intervalMilliseconds = 100;

function check(lag: LoopLag, now: number): void {
  recordLoopCheck(lag, { intervalMilliseconds, now });
}

function isBehind(lag: LoopLag, now: number): boolean {
  return isLoopBehind(lag, { intervalMilliseconds, now });
}

test("a loop whose timers are slightly late is not behind", (t) => {
  const lag = { checkedAt: 0, behindUntil: 0 };
  check(lag, 130);
  check(lag, 260);
  t.false(isBehind(lag, 261));
  t.false(isBehind(lag, 360));
});

test("a loop whose check is overdue is behind: requests handled in one long turn may be old", (t) => {
  const lag = { checkedAt: 0, behindUntil: 0 };
  check(lag, 100);
  t.true(isBehind(lag, 900));
});

test("after a pause the loop is behind until it has handled the events of the pause", (t) => {
  const lag = { checkedAt: 0, behindUntil: 0 };
  check(lag, 1_300);
  t.true(isBehind(lag, 1_310));
  check(lag, 1_400);
  t.true(isBehind(lag, 1_450));
  [1_500, 1_600, 1_700, 1_800, 1_900, 2_000, 2_100, 2_200, 2_300, 2_400, 2_500]
    .forEach((now) => check(lag, now));
  t.false(isBehind(lag, 2_510));
});

test("turns of 250 ms: the loop is behind all the time, also between a late check and the next one", (t) => {
  const lag = { checkedAt: 0, behindUntil: 0 };
  check(lag, 250);
  check(lag, 500);
  Array.from({ length: 249 }, (_, elapsed) => 500 + elapsed)
    .forEach((now) => t.true(isBehind(lag, now)));
});
