import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Runs a full garbage collection, so that the remaining heap holds only reachable objects. */
export function collectGarbage(): void {
  setFlagsFromString("--expose_gc");
  // Only contexts that are created after the flag was set have a `gc` function.
  const collect = runInNewContext("gc") as () => void;
  collect();
}
