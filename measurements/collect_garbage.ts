import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Runs a full garbage collection, so that what is left of the heap is in use. */
export function collectGarbage(): void {
  setFlagsFromString("--expose_gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
}
