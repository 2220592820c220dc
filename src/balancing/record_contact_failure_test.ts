import test from "ava";
import { createGateView } from "./create_gate_view.ts";
import { recordContactFailure } from "./record_contact_failure.ts";

const now = 1_000_000;
/** Time that a call spends on an attempt to connect to a VM without power. */
const connectMilliseconds = 200;

function getAvoidedMilliseconds(failures: number): number {
  const view = createGateView();
  Array.from({ length: failures }, () => recordContactFailure(view, now));
  return view.avoidUntil - now;
}

test("a VM without power is avoided for much longer than an attempt to connect to it takes", (t) => {
  t.true(getAvoidedMilliseconds(1) >= 2 * connectMilliseconds);
  t.true(getAvoidedMilliseconds(5) >= 20 * connectMilliseconds);
});

test("a node that is reachable again gets calls within 4 seconds", (t) => {
  t.true(getAvoidedMilliseconds(20) <= 4_000);
});
