import process from "node:process";
import { collectGarbage } from "./collect_garbage.ts";

/** Returns how many bytes of heap and array buffers the value created by `create` retains. */
export function measureHeapGrowth<Value>(create: () => Value): number {
  collectGarbage();
  const before = readMemoryUsage();
  const retained = { value: create() };
  collectGarbage();
  const after = readMemoryUsage();
  // Reading the value here keeps it reachable until the memory has been read.
  return retained.value === undefined ? 0 : after - before;
}

function readMemoryUsage(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
