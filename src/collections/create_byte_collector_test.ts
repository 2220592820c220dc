import test from "ava";
import fc from "fast-check";
import { createByteCollector } from "./create_byte_collector.ts";

test("parts of any sizes are neither lost nor reordered", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ maxLength: 3 }), { maxLength: 300 }),
      (parts) => {
        const collector = createByteCollector();
        parts.forEach((part) => collector.add(Buffer.from(part)));
        const expected = Buffer.concat(parts);
        return collector.concatenate().equals(expected) &&
          collector.getLength() === expected.byteLength;
      },
    ),
    { numRuns: 300, seed: 1 },
  );
  t.pass();
});

test("a cleared collector returns nothing that it held before", (t) => {
  const collector = createByteCollector();
  Array.from({ length: 100 }, () => collector.add(Buffer.from("x")));
  collector.clear();
  collector.add(Buffer.from("y"));
  t.is(collector.concatenate().toString(), "y");
  t.is(collector.getLength(), 1);
});
