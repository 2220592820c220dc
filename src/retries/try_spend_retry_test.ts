import test from "ava";
import fc from "fast-check";
import { countCallForRetries } from "./count_call_for_retries.ts";
import type { RetryAllowance } from "./retry_allowance.ts";
import type { RetryCounts } from "./retry_counts.ts";
import { trySpendRetry } from "./try_spend_retry.ts";

const allowance: RetryAllowance = {
  ratio: 0.2,
  slack: 60,
  windowMilliseconds: 10_000,
};

test("retry storm: the retries of all nodes together stay within the retry budget", (t) => {
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 40 }),
    fc.integer({ min: 0, max: 200 }),
    (nodes, callsPerNode) => {
      const retries = Array.from({ length: nodes }, () => {
        const counts: RetryCounts = [];
        return Array.from({ length: callsPerNode }, (_, index) => {
          const now = 1_000_000 + index * 40;
          countCallForRetries(counts, { allowance, now });
          return trySpendRetry(counts, { allowance, nodes, now });
        }).filter((spent) => spent).length;
      }).reduce((sum, count) => sum + count, 0);
      return retries <=
        allowance.ratio * nodes * callsPerNode + allowance.slack;
    },
  ));
  t.pass();
});

test("retry storm through nested calls: retries of nested calls and nested calls caused by retries together stay within the retry budget", (t) => {
  const callers = 3;
  const nestedCallsPerCall = 1.4;
  const countRetries = (calls: number, nodes: number) =>
    Array.from({ length: nodes }, () => {
      const counts: RetryCounts = [];
      const spend = (index: number) => {
        const now = 1_000_000 + index * 10;
        countCallForRetries(counts, { allowance, now });
        return trySpendRetry(counts, { allowance, nodes, now });
      };
      return Array.from({ length: calls }, (_, index) => spend(index))
        .filter((spent) => spent).length;
    }).reduce((sum, count) => sum + count, 0);
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 20 }),
    fc.integer({ min: 1, max: 100 }),
    (nodes, calls) => {
      const nestedCalls = Math.floor(callers * nestedCallsPerCall * calls);
      const retries = countRetries(nestedCalls, nodes) +
        callers * nestedCallsPerCall * countRetries(calls, nodes);
      return retries <= allowance.ratio * nodes * nestedCalls + allowance.slack;
    },
  ));
  t.pass();
});

test("the retry budget is available again after the window has passed", (t) => {
  const nodes = 12;
  const calls = 30;
  const counts: RetryCounts = [];
  const countCalls = (now: number) =>
    Array.from(
      { length: calls },
      () => countCallForRetries(counts, { allowance, now }),
    );
  const spend = (now: number) =>
    trySpendRetry(counts, { allowance, nodes, now });
  countCalls(1_000_000);
  const first = Array.from({ length: calls }, () => spend(1_000_000));
  const spent = first.filter((isSpent) => isSpent).length;
  t.true(spent >= 1);
  t.true(
    spent <= allowance.ratio * calls + allowance.slack / nodes,
  );
  t.false(spend(1_009_000));
  countCalls(1_012_000);
  t.true(spend(1_012_000));
});
