import test from "ava";
import { parseProcessUsage } from "./parse_process_usage.ts";

test("parseProcessUsage() skips a program name with spaces and brackets", (t) => {
  const line =
    "42 (node (x) y) S 1 42 42 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 11 0 9 734003200 20000 1844";
  t.deepEqual(parseProcessUsage(line), {
    processorMilliseconds: 2000,
    residentBytes: 20_000 * 4096,
  });
});
