import process from "node:process";
import { collectGarbage } from "./collect_garbage.ts";

/** Returns how many bytes of heap and of buffers the value that `create` returns keeps. */
export function measureHeapGrowth<Value>(create: () => Value): number {
  collectGarbage();
  const before = readUse();
  const held = { value: create() };
  collectGarbage();
  const after = readUse();
  return held.value === undefined ? 0 : after - before;
}

function readUse(): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
