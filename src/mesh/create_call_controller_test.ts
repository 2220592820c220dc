import test from "ava";
import { createCallController } from "./create_call_controller.ts";

test("the listeners of a call's signal are called once, and not after their removal", (t) => {
  const { signal, abort } = createCallController();
  const called: string[] = [];
  const removed = () => called.push("removed");
  signal.addEventListener("abort", () => called.push("kept"), { once: true });
  signal.addEventListener("abort", removed, { once: true });
  signal.removeEventListener("abort", removed);
  t.false(signal.aborted);
  abort();
  abort();
  t.true(signal.aborted);
  t.deepEqual(called, ["kept"]);
});

test("a listener that is added after the abort is not called, as with signals of the runtime", (t) => {
  const { signal, abort } = createCallController();
  abort();
  signal.addEventListener("abort", () => t.fail(), { once: true });
  abort();
  t.pass();
});

test("a listener that removes another one while the call is aborted has no effect on it", (t) => {
  const { signal, abort } = createCallController();
  const called: number[] = [];
  const second = () => called.push(2);
  signal.addEventListener("abort", () => {
    called.push(1);
    signal.removeEventListener("abort", second);
  }, { once: true });
  signal.addEventListener("abort", second, { once: true });
  abort();
  t.deepEqual(called, [1, 2]);
});
