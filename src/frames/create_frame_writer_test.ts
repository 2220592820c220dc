import test from "ava";
import { setImmediate } from "node:timers/promises";
import { createFrameSplitter } from "./create_frame_splitter.ts";
import { createFrameWriter } from "./create_frame_writer.ts";
import { FrameKind } from "./frame_kind.ts";

test("the frames of a turn are written together, those that cannot wait first", async (t) => {
  const writes: Buffer[] = [];
  const writer = createFrameWriter((bytes) => writes.push(bytes));
  writer.write({ kind: FrameKind.Data, offer: 1 }, [Buffer.from("body")]);
  writer.write({ kind: FrameKind.Cancel, offer: 2 });
  t.is(writes.length, 0);
  await setImmediate();
  t.is(writes.length, 1);
  const frames = createFrameSplitter()(writes[0]!);
  t.deepEqual(
    frames?.map(({ kind, offer }) => [kind, offer]),
    [[FrameKind.Cancel, 2], [FrameKind.Data, 1]],
  );
});

test("an offer that is given up in the same turn is never written", async (t) => {
  const writes: Buffer[] = [];
  const writer = createFrameWriter((bytes) => writes.push(bytes));
  writer.write({ kind: FrameKind.Offer, offer: 1 }, [Buffer.from("{}")]);
  t.true(writer.tryWithdraw(1));
  t.false(writer.tryWithdraw(1));
  await setImmediate();
  t.is(writes.length, 0);
});
