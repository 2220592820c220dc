import test from "ava";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { isRemovalConfirmed } from "./is_removal_confirmed.ts";
import { putEntry } from "./put_entry.ts";
import { removeEntry } from "./remove_entry.ts";
import { rescheduleRemovals } from "./reschedule_removals.ts";
import type { RegisterState } from "./register_state.ts";

const now = 1_000_000;
const identifier = "server";

function createRegister(): RegisterState {
  const state: RegisterState = new Map();
  putEntry(state, createSampleEntry({ identifier }));
  return state;
}

function isConfirmed(state: RegisterState, at: number): boolean {
  return isRemovalConfirmed(state.get(identifier)!, at);
}

test("a removal counts at once while the source responds", (t) => {
  const state = createRegister();
  t.false(isConfirmed(state, now));
  const sourceAvailableSince = now - 60_000;
  removeEntry(state, { identifier, sourceAvailableSince, now });
  t.true(isConfirmed(state, now));
});

test("outage of the source: a removal counts only after live entries had time to be listed again", (t) => {
  const state = createRegister();
  const failing = Number.POSITIVE_INFINITY;
  removeEntry(state, { identifier, sourceAvailableSince: failing, now });
  t.false(isConfirmed(state, now + 60_000));
  const sourceAvailableSince = now + 1_000;
  rescheduleRemovals(state, { sourceAvailableSince, now: now + 1_000 });
  t.false(isConfirmed(state, sourceAvailableSince + 1_000));
  t.true(isConfirmed(state, sourceAvailableSince + 2_500));
});

test("outage of the source: a backend server that had left before stays left", (t) => {
  const state = createRegister();
  removeEntry(state, {
    identifier,
    sourceAvailableSince: now - 60_000,
    now,
  });
  const failing = Number.POSITIVE_INFINITY;
  rescheduleRemovals(state, { sourceAvailableSince: failing, now: now + 10 });
  t.true(isConfirmed(state, now + 20));
});

test("two outages in a row: a removal that does not count yet waits again", (t) => {
  const state = createRegister();
  removeEntry(state, { identifier, sourceAvailableSince: now - 100, now });
  const failing = Number.POSITIVE_INFINITY;
  rescheduleRemovals(state, { sourceAvailableSince: failing, now: now + 500 });
  t.false(isConfirmed(state, now + 10_000));
});
