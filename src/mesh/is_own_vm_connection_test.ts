import test from "ava";
import { isOwnVmConnection } from "./is_own_vm_connection.ts";

test("calls of the backend server come from the address of its VM, in either notation", (t) => {
  const own = { host: "10.1.0.8" };
  t.true(isOwnVmConnection("10.1.0.8", own));
  t.true(isOwnVmConnection("::ffff:10.1.0.8", own));
  t.false(isOwnVmConnection("10.1.0.81", own));
  t.false(isOwnVmConnection(undefined, own));
});
