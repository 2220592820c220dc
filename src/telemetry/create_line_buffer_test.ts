import test from "ava";
import { createLineBuffer } from "./create_line_buffer.ts";

const limits = { bytesMaximum: 20, blockBytesMaximum: 8 };

test("a block ends at the end of a line, and a line longer than a block is not split or lost", (t) => {
  const buffer = createLineBuffer(limits);
  ["abc\n", "def\n", "0123456789\n"].forEach(buffer.append);
  const blocks = Array.from({ length: 3 }, () => {
    const block = buffer.peek().toString();
    buffer.remove(block.length);
    return block;
  });
  t.deepEqual(blocks, ["abc\ndef\n", "0123456789\n", ""]);
  t.is(buffer.getBytes(), 0);
});

test("the rest of a block that was written in part is kept, and lines that do not fit are counted", (t) => {
  const buffer = createLineBuffer(limits);
  ["abc\n", "öö\n", "0123456789\n", "lost\n"].forEach(buffer.append);
  buffer.remove(buffer.peek().subarray(0, 3).length);
  t.is(buffer.peek().toString(), "\n");
  t.is(buffer.takeDropped(), 1);
  t.is(buffer.takeDropped(), 0);
  buffer.append("yes\n");
  t.is(buffer.takeDropped(), 1);
  buffer.remove(1);
  buffer.append("yes\n");
  t.is(buffer.takeDropped(), 0);
});
