import test from "ava";
import fc from "fast-check";
import { createLineSplitter } from "./create_line_splitter.ts";

test("lines are neither lost nor joined, wherever their bytes are divided", (t) => {
  fc.assert(
    fc.property(
      fc.array(
        fc.string({ unit: fc.constantFrom("a", "é", "\r"), maxLength: 9 }),
      ),
      fc.integer({ min: 1, max: 7 }),
      (lines, partBytes) => {
        const received: string[] = [];
        const split = createLineSplitter({
          bytesMaximum: 18,
          onLine: (line) => received.push(line),
        });
        const bytes = Buffer.from(lines.map((line) => `${line}\n`).join(""));
        const count = Math.ceil(bytes.byteLength / partBytes);
        const areWithinLimit = Array.from(
          { length: count },
          (_, index) =>
            split(bytes.subarray(index * partBytes, (index + 1) * partBytes)),
        ).every((isWithinLimit) => isWithinLimit);
        return areWithinLimit && lines.join("\n") === received.join("\n") &&
          lines.length === received.length;
      },
    ),
    { numRuns: 500, seed: 1 },
  );
  t.pass();
});

test("a line above the limit is reported, and not kept", (t) => {
  const received: string[] = [];
  const split = createLineSplitter({
    bytesMaximum: 4,
    onLine: (line) => received.push(line),
  });
  t.true(split(Buffer.from("one\nfour\nfi")));
  t.true(split(Buffer.from("ve")));
  t.false(split(Buffer.from("!\n")));
  t.deepEqual(received, ["one", "four"]);
});
