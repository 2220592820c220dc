import test from "ava";
import { createGateView } from "./create_gate_view.ts";
import { noteContactFailure } from "./note_contact_failure.ts";

const now = 1_000_000;
/** What a call loses that tries to connect to a VM without power. */
const connectMilliseconds = 200;

function getAvoidedMilliseconds(failures: number): number {
  const view = createGateView();
  Array.from({ length: failures }, () => noteContactFailure(view, now));
  return view.avoidUntil - now;
}

test("a VM without power costs its callers a small part of their time", (t) => {
  t.true(getAvoidedMilliseconds(1) >= 2 * connectMilliseconds);
  t.true(getAvoidedMilliseconds(5) >= 20 * connectMilliseconds);
});

test("one that is back gets calls again within seconds", (t) => {
  t.true(getAvoidedMilliseconds(20) <= 4_000);
});
